package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;

/**
 * Estimates the mean size of the requests to one model service from those that arrive.
 *
 * <p>Services differ several times in the length of their output, so capacity that is set aside for
 * a stream's growth, and the split of the servers over the stages, follow from these means. The
 * first arrivals count most, so that the estimate fits within seconds of the first request. Not
 * thread-safe.
 */
public final class RequestSizeEstimator {

    /** Prompt size assumed before the first request, in tokens. */
    private static final double INITIAL_PROMPT_TOKENS = 3_000;

    /** Output size assumed before the first request, in tokens. */
    private static final double INITIAL_OUTPUT_TOKENS = 2_000;

    /** Number of requests that the initial sizes count as. */
    private static final int INITIAL_REQUESTS = 3;

    private final RunningMean promptTokens =
            new RunningMean(INITIAL_PROMPT_TOKENS, INITIAL_REQUESTS);
    private final RunningMean outputTokens =
            new RunningMean(INITIAL_OUTPUT_TOKENS, INITIAL_REQUESTS);

    /**
     * Records an arriving request.
     *
     * @param counts the token counts of the request
     */
    public void recordArrival(TokenCounts counts) {
        promptTokens.record(counts.promptTokens());
        outputTokens.record(counts.likelyOutputTokens());
    }

    /**
     * Returns the mean size of a prompt.
     *
     * @return the size in tokens
     */
    public double meanPromptTokens() {
        return promptTokens.value();
    }

    /**
     * Returns the mean expected size of an output.
     *
     * @return the size in tokens
     */
    public double meanOutputTokens() {
        return outputTokens.value();
    }
}
