package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Writes the answer of a model to one caller.
 *
 * <p>Each part is sent immediately. Its text is kept as well, so that another server can continue
 * the answer. Confined to the serial executor of its request.
 */
final class ModelAnswerWriter {

    private static final int HTTP_OK = 200;

    private final CallerStream caller;
    private final AnswerFormat format;
    private final LatencyTracker latency;
    private final StringBuilder text = new StringBuilder();
    private int tokens;
    private long promptTokens;
    private long cachedTokens;

    ModelAnswerWriter(CallerStream caller, AnswerFormat format, LatencyTracker latency) {
        this.caller = caller;
        this.format = format;
        this.latency = latency;
    }

    /** Returns the text written so far. */
    String text() {
        return text.toString();
    }

    /** Returns the number of tokens written so far. */
    int tokens() {
        return tokens;
    }

    boolean hasTokens() {
        return tokens > 0;
    }

    /** Sets the token counts of the prompt, as reported by the first prefill. */
    void setPromptUsage(long prompt, long cached) {
        promptTokens = prompt;
        cachedTokens = cached;
    }

    /** Writes the next part. */
    void writePart(byte[] content, int partTokens, long nowMillis) {
        startIfNeeded();
        String next = new String(content, StandardCharsets.UTF_8);
        text.append(next);
        tokens += partTokens;
        latency.recordToken(nowMillis);
        caller.write(format.part(next));
    }

    /** Completes the answer. */
    void end(String finishReason) {
        startIfNeeded();
        AnswerFormat.Usage usage = new AnswerFormat.Usage(promptTokens, cachedTokens, tokens);
        caller.write(format.closing(finishReason, usage));
        caller.end();
    }

    /**
     * Ends the answer with an error; an answer that has started is aborted, so that the caller can
     * see that it is incomplete.
     */
    void fail(RequestFailure failure) {
        if (!caller.isStarted()) {
            caller.fail(failure);
            return;
        }
        RequestFailure incomplete =
                RequestFailure.of(
                        Verdict.RAN,
                        ErrorCode.INCOMPLETE_ANSWER,
                        "the answer is incomplete: " + failure.message());
        caller.failAfter(format.failure(incomplete), incomplete);
    }

    private void startIfNeeded() {
        if (!caller.isStarted()) {
            caller.start(
                    HTTP_OK, HttpFields.build().put(HttpHeader.CONTENT_TYPE, format.contentType()));
            caller.write(format.opening());
        }
    }
}
