package dev.foxtailshed.kernel.direct;

/**
 * Estimates the cost of one request at each stage, and from it the share of servers that should do
 * prefill.
 *
 * <p>A prefill server is busy while it processes the prompt; a decode server provides part of its
 * KV cache for as long as the stream lasts. Typical values are used until requests have been
 * measured. Not thread-safe.
 */
public final class StageCostEstimator {

    /** Initial prompt size in tokens. */
    private static final double INITIAL_PROMPT_TOKENS = 3_000;

    /** Initial number of tokens that a stream holds on average. */
    private static final double INITIAL_HELD_TOKENS = 4_000;

    /** Initial duration of a stream. */
    private static final double INITIAL_STREAM_MILLIS = 3_500;

    /** Initial prefill time per token. */
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.035;

    /** Factor on the prefill work, since prompts that queue are late. */
    private static final double PREFILL_HEADROOM = 1.3;

    /** Weight of the newest sample: averages about the last fifty requests. */
    private static final double SAMPLE_WEIGHT = 0.02;

    /**
     * Quantile of the prefill times that counts as work. Most of the higher ones include a wait at
     * the server; a few of the lower ones are far too short because the server had the prompt
     * cached.
     */
    private static final double WORK_QUANTILE = 0.1;

    /**
     * Relative step by which one sample changes the quantile estimate. It is small because each
     * entry has its own estimate, and the first entry that decides on a stage change starts it.
     */
    private static final double QUANTILE_STEP = 0.02;

    private double promptTokens = INITIAL_PROMPT_TOKENS;
    private double heldTokens = INITIAL_HELD_TOKENS;
    private double streamMillis = INITIAL_STREAM_MILLIS;
    private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

    /**
     * Records a processed prompt.
     *
     * @param tokens the size of the prompt
     * @param millis the time taken, including any wait at the server
     */
    public void recordPrefill(long tokens, long millis) {
        promptTokens += SAMPLE_WEIGHT * (tokens - promptTokens);
        double perToken = (double) Math.max(1, millis) / Math.max(1, tokens);
        boolean below = perToken < millisPerToken;
        double step = below ? -QUANTILE_STEP * (1 - WORK_QUANTILE) : QUANTILE_STEP * WORK_QUANTILE;
        millisPerToken *= 1 + step;
    }

    /**
     * Records a stream that ended.
     *
     * @param tokens the mean number of tokens held
     * @param millis the duration of the stream
     */
    public void recordStream(long tokens, long millis) {
        heldTokens += SAMPLE_WEIGHT * (tokens - heldTokens);
        streamMillis += SAMPLE_WEIGHT * (millis - streamMillis);
    }

    /**
     * Returns the prefill time per token.
     *
     * @return milliseconds, without waits at the server
     */
    public double millisPerToken() {
        return millisPerToken;
    }

    /**
     * Returns the share of servers that should do prefill.
     *
     * @param engine the specification of the model servers
     * @return a number between 0 and 1
     */
    public double prefillShare(EngineSpec engine) {
        double prefillCost = PREFILL_HEADROOM * promptTokens * millisPerToken;
        double capacityShare = Math.max(heldTokens / engine.kvCacheTokens(), 1.0 / engine.slots());
        double decodeCost = capacityShare * streamMillis;
        return prefillCost / (prefillCost + decodeCost);
    }
}
