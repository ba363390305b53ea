package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import java.nio.charset.StandardCharsets;

/**
 * The answer that a model writes, as server-sent events.
 *
 * <p>The tokens of one chunk are handed on as one part. The answer is whole only if a finish reason
 * and the end mark came.
 */
final class DecodeResponseReader implements EngineResponseReader {

    private static final String END_MARK = "[DONE]";

    private final BackendListener listener;
    private final EventStreamParser parser = new EventStreamParser();
    private final StringBuilder text = new StringBuilder();
    private int tokens;
    private String finishReason = "";
    private long promptTokens;
    private long cachedTokens;
    private boolean ended;

    DecodeResponseReader(BackendListener listener) {
        this.listener = listener;
    }

    @Override
    public void onBytes(byte[] bytes, Runnable next) {
        for (String data : parser.feed(bytes)) {
            if (data.equals(END_MARK)) {
                ended = true;
            } else {
                take(EngineJson.completion(data));
            }
        }
        if (tokens == 0) {
            next.run();
            return;
        }
        byte[] content = text.toString().getBytes(StandardCharsets.UTF_8);
        int partTokens = tokens;
        text.setLength(0);
        tokens = 0;
        listener.onPart(content, partTokens, next);
    }

    @Override
    public void onComplete() {
        if (ended && !finishReason.isEmpty()) {
            listener.onEnd(finishReason, promptTokens, cachedTokens);
            return;
        }
        onFailure(
                RequestFailure.of(
                        Verdict.RAN,
                        ErrorCode.INCOMPLETE_ANSWER,
                        "the event stream of the engine ended early"));
    }

    @Override
    public void onFailure(RequestFailure failure) {
        listener.onFailure(failure);
    }

    private void take(EngineJson.Completion event) {
        event.choice().ifPresent(this::take);
        if (event.usage() != null) {
            promptTokens = event.promptTokens();
            cachedTokens = event.cachedTokens();
        }
    }

    private void take(EngineJson.Choice choice) {
        if (choice.text() != null && !choice.text().isEmpty()) {
            text.append(choice.text());
            tokens++;
        }
        if (choice.finishReason() != null) {
            finishReason = choice.finishReason();
        }
    }
}
