package dev.foxtailshed.bench.load;

import java.util.Locale;

/**
 * The outcome of a request as seen by its caller. Latencies are measured from the time at which the
 * request was due.
 *
 * @param request the planned request
 * @param end how it ended
 * @param code the error code, empty for none
 * @param firstTokenMillis time to the first token, for calls to the complete response
 * @param meanTokenGapMillis mean time between two tokens, zero for calls to plain services
 * @param endToEndMillis time to the end of the response
 * @param uncachedPromptTokens prompt tokens not served from the prefix cache, from the usage of a
 *     complete response; zero for other outcomes
 */
record Outcome(
        PlannedRequest request,
        End end,
        String code,
        double firstTokenMillis,
        double meanTokenGapMillis,
        double endToEndMillis,
        long uncachedPromptTokens) {

    static final String CSV_HEADER =
            "router,fault,load_percent,seed,number,due_millis,kind,counted,prompt_tokens,"
                    + "output_tokens,end,code,first_token_millis,pace_millis,whole_millis,"
                    + "read_tokens";

    /** How a request ended; written to the CSV file by name. */
    enum End {
        /** The response is complete and belongs to this request. */
        WHOLE,
        /** An error with the verdict that the request was not run. */
        NOT_RUN,
        /** Any other error, an incomplete response or a broken connection. */
        FAILED,
        /** The response belongs to another request or has gaps. */
        WRONG
    }

    String csv(PointKey key) {
        return String.format(
                Locale.ROOT,
                "%s,%s,%d,%d,%d,%d,%s,%b,%d,%d,%s,%s,%.1f,%.1f,%.1f,%d",
                key.router(),
                key.fault().label,
                key.loadPercent(),
                key.seed(),
                request.number(),
                request.dueMicros() / 1_000,
                request.kind().label,
                request.counted(),
                request.promptTokens(),
                request.outputTokens(),
                end,
                code,
                firstTokenMillis,
                meanTokenGapMillis,
                endToEndMillis,
                uncachedPromptTokens);
    }

    boolean metTargets() {
        RequestKind kind = request.kind();
        boolean firstTokenMet = firstTokenMillis <= kind.firstTokenMillis;
        boolean tokenGapMet = kind.isCall() || meanTokenGapMillis <= kind.betweenTokensMillis;
        return end == End.WHOLE && firstTokenMet && tokenGapMet;
    }
}
