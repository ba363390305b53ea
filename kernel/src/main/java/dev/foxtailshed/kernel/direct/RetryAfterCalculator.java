package dev.foxtailshed.kernel.direct;

/**
 * Computes when a caller whose stream was refused should retry.
 *
 * <p>A caller that retries during the burst in which it was refused is refused again. Its answer is
 * late in any case, so the retry is delayed beyond a typical burst, and the retries of callers that
 * were refused together are spread out. Immutable and thread-safe.
 */
public final class RetryAfterCalculator {

    /** Minimum delay; a burst lasts for seconds. */
    private static final long MINIMUM_DELAY_MILLIS = 1_500;

    /** Interval over which the retries of callers refused together are spread. */
    private static final long SPREAD_MILLIS = 3_000;

    /**
     * Divisor of the caller's remaining time that gives the maximum delay; callers wait no longer.
     */
    private static final int REMAINING_TIME_DIVISOR = 3;

    /**
     * Returns the delay before the retry.
     *
     * @param drainMillis the time that the current queue takes to empty
     * @param remainingMillis how much longer the caller waits for its answer
     * @param random a random number in [0, 1)
     * @return the delay in milliseconds, at most a third of the remaining time
     */
    public long retryAfterMillis(long drainMillis, long remainingMillis, double random) {
        long delayMillis =
                Math.max(MINIMUM_DELAY_MILLIS, drainMillis) + (long) (SPREAD_MILLIS * random);
        return Math.min(delayMillis, Math.max(0, remainingMillis) / REMAINING_TIME_DIVISOR);
    }
}
