package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * The answer of a model to one caller, as far as it has come.
 *
 * <p>Each part goes out at once; its text is kept as well, so that the answer can go on at another
 * server. Confined to the serial executor of its request.
 */
final class ModelAnswerWriter {

    private static final int HTTP_OK = 200;

    private final CallerStream caller;
    private final AnswerFormat format;
    private final LatencyTracker pace;
    private final StringBuilder text = new StringBuilder();
    private int tokens;
    private long promptTokens;
    private long cachedTokens;

    ModelAnswerWriter(CallerStream caller, AnswerFormat format, LatencyTracker pace) {
        this.caller = caller;
        this.format = format;
        this.pace = pace;
    }

    /** Returns the text so far. */
    String text() {
        return text.toString();
    }

    /** Returns the tokens so far. */
    int tokens() {
        return tokens;
    }

    boolean isBegun() {
        return tokens > 0;
    }

    /** Notes what the engine counted in the prompt when it read it first. */
    void promptRead(long prompt, long cached) {
        promptTokens = prompt;
        cachedTokens = cached;
    }

    /** Hands on the next part. */
    void part(byte[] content, int partTokens, long nowMillis) {
        open();
        String next = new String(content, StandardCharsets.UTF_8);
        text.append(next);
        tokens += partTokens;
        pace.token(nowMillis);
        caller.write(format.part(next));
    }

    /** Ends a whole answer. */
    void end(String finishReason) {
        open();
        AnswerFormat.Usage usage = new AnswerFormat.Usage(promptTokens, cachedTokens, tokens);
        caller.write(format.closing(finishReason, usage));
        caller.end();
    }

    /** Ends the answer with an error; one that was begun is broken off, so that it looks cut. */
    void fail(RequestFailure told) {
        if (!caller.isStarted()) {
            caller.fail(told);
            return;
        }
        RequestFailure incomplete =
                RequestFailure.of(
                        Verdict.RAN,
                        ErrorCode.INCOMPLETE_ANSWER,
                        "the answer is incomplete: " + told.message());
        caller.failAfter(format.failure(incomplete), incomplete);
    }

    private void open() {
        if (!caller.isStarted()) {
            caller.start(
                    HTTP_OK, HttpFields.build().put(HttpHeader.CONTENT_TYPE, format.contentType()));
            caller.write(format.opening());
        }
    }
}
