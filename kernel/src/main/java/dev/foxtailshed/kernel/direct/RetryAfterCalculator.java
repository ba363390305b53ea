package dev.foxtailshed.kernel.direct;

/**
 * Tells when a caller whose stream was refused should come back.
 *
 * <p>Answers refused callers that come back into the burst which had them refused, and are refused
 * again. Their answer is late in any case, so they come back after a usual burst, and callers that
 * were refused together come back apart. Immutable and thread-safe.
 */
public final class RetryAfterCalculator {

    /** Least time until the return; a burst lasts for seconds. */
    private static final long LEAST_MILLIS = 1_500;

    /** Time over which callers refused together come back. */
    private static final long SPREAD_MILLIS = 3_000;

    /** Part of a caller's time after which it should be back; callers wait no longer. */
    private static final int PART_OF_REMAINING = 3;

    /**
     * Returns the time until the return.
     *
     * @param drainMillis how long the present queue takes
     * @param remainingMillis how long the caller waits for its answer
     * @param random a number from 0 up to but not including 1
     * @return milliseconds, at most a third of the remaining time
     */
    public long retryAfterMillis(long drainMillis, long remainingMillis, double random) {
        long wantedMillis = Math.max(LEAST_MILLIS, drainMillis) + (long) (SPREAD_MILLIS * random);
        return Math.min(wantedMillis, Math.max(0, remainingMillis) / PART_OF_REMAINING);
    }
}
