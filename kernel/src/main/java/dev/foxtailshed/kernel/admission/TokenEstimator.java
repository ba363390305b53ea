package dev.foxtailshed.kernel.admission;

/**
 * Estimates the number of tokens of a prompt from its size and from the token counts of engines.
 *
 * <p>Estimates are high on purpose: a reservation that is too small is refused only after the
 * prefill, while one that is too large merely withholds memory from other requests. Until enough
 * prompts have been counted, tokens are assumed to be short.
 *
 * <pre>{@code
 * long tokens = estimator.estimate(sizeBytes);
 * estimator.observe(sizeBytes, countedTokens);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class TokenEstimator {

    private static final double INITIAL_BYTES_PER_TOKEN = 3;
    private static final int MINIMUM_OBSERVATIONS = 8;
    private static final double SMOOTHING_FACTOR = 1.0 / 16;
    private static final double DEVIATION_FACTOR = 4;
    private static final double MARGIN = 1.02;

    private double meanBytesPerToken;
    private double deviation;
    private int observations;

    /**
     * Estimates the tokens of a prompt.
     *
     * @param sizeBytes the size of the prompt
     * @return the estimated number of tokens, usually more than the actual one
     */
    public synchronized long estimate(long sizeBytes) {
        if (observations < MINIMUM_OBSERVATIONS) {
            return Math.max(1, (long) Math.ceil(sizeBytes / INITIAL_BYTES_PER_TOKEN));
        }
        double minimumBytesPerToken = Math.max(1, meanBytesPerToken - DEVIATION_FACTOR * deviation);
        return Math.max(1, (long) Math.ceil(MARGIN * sizeBytes / minimumBytesPerToken));
    }

    /**
     * Updates the estimate from a prompt whose tokens were counted.
     *
     * @param sizeBytes the size of the prompt
     * @param countedTokens the number of tokens that an engine counted
     */
    public synchronized void observe(long sizeBytes, long countedTokens) {
        if (sizeBytes <= 0 || countedTokens <= 0) {
            return;
        }
        double bytesPerToken = (double) sizeBytes / countedTokens;
        observations = Math.min(MINIMUM_OBSERVATIONS, observations + 1);
        double weight = observations == 1 ? 1 : SMOOTHING_FACTOR;
        double difference = bytesPerToken - meanBytesPerToken;
        meanBytesPerToken += weight * difference;
        deviation += observations == 1 ? 0 : SMOOTHING_FACTOR * (Math.abs(difference) - deviation);
    }
}
