package dev.foxtailshed.kernel.direct;

/**
 * Learns what one request costs at either stage, and from that the share of servers for reading.
 *
 * <p>A prefill server is busy for as long as it reads the prompt; a decode server gives part of its
 * KV cache for as long as the stream lasts. Until requests were seen, usual figures stand in. Not
 * thread-safe.
 */
public final class StageCostEstimator {

    /** Usual prompt before any was seen, in tokens. */
    private static final double USUAL_PROMPT_TOKENS = 3_000;

    /** Usual tokens that a stream holds before any was seen. */
    private static final double USUAL_HELD_TOKENS = 4_000;

    /** Usual length of a stream before any was seen. */
    private static final double USUAL_STREAM_MILLIS = 3_500;

    /** Usual time to read a token before any was measured. */
    private static final double USUAL_MILLIS_PER_TOKEN = 0.035;

    /** Reading is given this much more than its work, since prompts that queue are late. */
    private static final double PREFILL_HEADROOM = 1.3;

    /** Weight of the newest sample: about the last fifty requests count. */
    private static final double SAMPLE_WEIGHT = 0.02;

    /**
     * Quantile of the reading times that counts as work: most others contain a wait at the server,
     * and a few are far too short, since the server had kept the prompt.
     */
    private static final double WORK_QUANTILE = 0.1;

    /**
     * Step of the quantile's estimate by sample, relative to its value: small, since each entry
     * estimates for itself and the first that wants a change orders it.
     */
    private static final double QUANTILE_STEP = 0.02;

    private double promptTokens = USUAL_PROMPT_TOKENS;
    private double heldTokens = USUAL_HELD_TOKENS;
    private double streamMillis = USUAL_STREAM_MILLIS;
    private double millisPerToken = USUAL_MILLIS_PER_TOKEN;

    /**
     * Notes a prompt that was read.
     *
     * @param tokens its size
     * @param millis the time that it took, with any wait at the server
     */
    public void recordPrefill(long tokens, long millis) {
        promptTokens += SAMPLE_WEIGHT * (tokens - promptTokens);
        double perToken = (double) Math.max(1, millis) / Math.max(1, tokens);
        boolean below = perToken < millisPerToken;
        double step = below ? -QUANTILE_STEP * (1 - WORK_QUANTILE) : QUANTILE_STEP * WORK_QUANTILE;
        millisPerToken *= 1 + step;
    }

    /**
     * Notes a stream that ended.
     *
     * @param tokens the tokens that it held in the mean
     * @param millis its length
     */
    public void recordStream(long tokens, long millis) {
        heldTokens += SAMPLE_WEIGHT * (tokens - heldTokens);
        streamMillis += SAMPLE_WEIGHT * (millis - streamMillis);
    }

    /**
     * Returns how long a prefill server works on a token.
     *
     * @return milliseconds, without waits at the server
     */
    public double millisPerToken() {
        return millisPerToken;
    }

    /**
     * Returns the share of servers that should read prompts.
     *
     * @param engine what one server holds
     * @return a number between 0 and 1
     */
    public double prefillShare(EngineSpec engine) {
        double prefill = PREFILL_HEADROOM * promptTokens * millisPerToken;
        double place = Math.max(heldTokens / engine.kvCacheTokens(), 1.0 / engine.slots());
        double decode = place * streamMillis;
        return prefill / (prefill + decode);
    }
}
