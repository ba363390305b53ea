package dev.foxtailshed.kernel.direct;

import java.util.Optional;

/**
 * Estimates the cost of one request at each stage, and from it the share of servers that should do
 * prefill.
 *
 * <p>A prefill server is busy while it processes the prompt; a decode server provides part of its
 * KV cache for as long as the stream lasts. Typical values are used until requests have been
 * measured. The first measurements count most: an entry among many sees few requests, and a split
 * that does not fit the service must be corrected before the first burst.
 *
 * <p>Short streams end first. The duration is therefore measured per output token and applied to
 * the mean output of the requests that arrive. Not thread-safe.
 */
public final class StageCostEstimator {

    /** Initial duration of a stream. */
    private static final double INITIAL_STREAM_MILLIS = 3_500;

    /**
     * Number of streams that the initial duration counts as. The first streams to end are those
     * that were shorter than expected, so that a few of them say little.
     */
    private static final int INITIAL_STREAMS = 10;

    /** Initial prefill time per token. */
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.035;

    /** Factor on the prefill work, since prompts that queue are late. */
    private static final double PREFILL_HEADROOM = 1.3;

    /** A stream's output grows evenly, so on average half of it is held. */
    private static final double MEAN_PROGRESS = 0.5;

    /**
     * Quantile of the prefill times that counts as work. Most of the higher ones include a wait at
     * the server; a few of the lower ones are far too short because the server had the prompt
     * cached.
     */
    private static final double WORK_QUANTILE = 0.1;

    /**
     * Lowest relative step by which one sample changes the quantile estimate. It is small because
     * each entry has its own estimate, and the first entry that decides on a stage change starts
     * it.
     */
    private static final double MINIMUM_QUANTILE_STEP = 0.02;

    private final RequestSizeEstimator sizes;
    private final RunningMean streamMillis =
            new RunningMean(INITIAL_STREAM_MILLIS, INITIAL_STREAMS);
    private Optional<RunningMean> streamTokens = Optional.empty();
    private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;
    private int prefills;

    /**
     * Creates an estimator.
     *
     * @param sizes the mean sizes of the service's requests
     */
    public StageCostEstimator(RequestSizeEstimator sizes) {
        this.sizes = sizes;
    }

    /**
     * Records a processed prompt.
     *
     * @param tokens the size of the prompt
     * @param millis the time taken, including any wait at the server
     */
    public void recordPrefill(long tokens, long millis) {
        double perToken = (double) Math.max(1, millis) / Math.max(1, tokens);
        double step = Math.max(MINIMUM_QUANTILE_STEP, 1.0 / (prefills + 2));
        prefills++;
        millisPerToken =
                perToken < millisPerToken
                        ? Math.max(perToken, millisPerToken * (1 - step * (1 - WORK_QUANTILE)))
                        : Math.min(perToken, millisPerToken * (1 + step * WORK_QUANTILE));
    }

    /**
     * Records a stream that ended.
     *
     * @param outputTokens the expected size of its output
     * @param millis the duration of the stream
     */
    public void recordStream(long outputTokens, long millis) {
        if (streamTokens.isEmpty()) {
            // The initial duration is that of a request of the service's mean size.
            streamTokens = Optional.of(new RunningMean(sizes.meanOutputTokens(), INITIAL_STREAMS));
        }
        streamTokens.get().record(outputTokens);
        streamMillis.record(millis);
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
        double prefillCost = PREFILL_HEADROOM * sizes.meanPromptTokens() * millisPerToken;
        double heldTokens = sizes.meanPromptTokens() + MEAN_PROGRESS * sizes.meanOutputTokens();
        double capacityShare = Math.max(heldTokens / engine.kvCacheTokens(), 1.0 / engine.slots());
        double decodeCost = capacityShare * meanStreamMillis();
        return prefillCost / (prefillCost + decodeCost);
    }

    private double meanStreamMillis() {
        return streamTokens
                .map(tokens -> sizes.meanOutputTokens() / Math.max(1, tokens.value()))
                .map(scale -> scale * streamMillis.value())
                .orElse(INITIAL_STREAM_MILLIS);
    }
}
