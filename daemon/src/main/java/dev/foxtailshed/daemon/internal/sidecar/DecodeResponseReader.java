package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import java.nio.charset.StandardCharsets;

/**
 * Reads the output of a model, sent as server-sent events.
 *
 * <p>All tokens of one chunk are forwarded as one part. The answer is complete only if both a
 * finish reason and the end marker have arrived.
 */
final class DecodeResponseReader implements EngineResponseReader {

    private static final String END_MARKER = "[DONE]";

    private final BackendListener listener;
    private final EventStreamParser parser = new EventStreamParser();
    private final StringBuilder text = new StringBuilder();
    private int pendingTokens;
    private String finishReason = "";
    private long promptTokens;
    private long cachedTokens;
    private boolean endMarkerReceived;

    DecodeResponseReader(BackendListener listener) {
        this.listener = listener;
    }

    @Override
    public void onBytes(byte[] bytes, Runnable next) {
        for (String data : parser.feed(bytes)) {
            if (data.equals(END_MARKER)) {
                endMarkerReceived = true;
            } else {
                process(EngineJson.parseCompletion(data));
            }
        }
        if (pendingTokens == 0) {
            next.run();
            return;
        }
        byte[] content = text.toString().getBytes(StandardCharsets.UTF_8);
        int partTokens = pendingTokens;
        text.setLength(0);
        pendingTokens = 0;
        listener.onPart(content, partTokens, next);
    }

    @Override
    public void onComplete() {
        if (endMarkerReceived && !finishReason.isEmpty()) {
            listener.onEnd(finishReason, promptTokens, cachedTokens);
            return;
        }
        onFailure(
                RequestFailure.of(
                        Verdict.RAN,
                        ErrorCode.INCOMPLETE_ANSWER,
                        "the event stream of the engine ended before the answer was complete"));
    }

    @Override
    public void onFailure(RequestFailure failure) {
        listener.onFailure(failure);
    }

    private void process(EngineJson.Completion event) {
        event.firstChoice().ifPresent(this::process);
        if (event.usage() != null) {
            promptTokens = event.promptTokens();
            cachedTokens = event.cachedTokens();
        }
    }

    private void process(EngineJson.Choice choice) {
        if (choice.text() != null && !choice.text().isEmpty()) {
            text.append(choice.text());
            pendingTokens++;
        }
        if (choice.finishReason() != null) {
            finishReason = choice.finishReason();
        }
    }
}
