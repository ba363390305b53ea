package dev.foxtailshed.kernel.retry;

/**
 * An exponential backoff with jitter, so that requests that failed at the same time are not retried
 * at the same time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param initialMillis the maximum delay before the first retry
 * @param maximumMillis the maximum delay before any retry
 */
public record Backoff(long initialMillis, long maximumMillis) {

    private static final int MAXIMUM_DOUBLINGS = 20;

    /**
     * Returns the delay before a retry.
     *
     * @param retry the number of the retry, from zero
     * @param random a random number from zero to one
     * @return the delay in milliseconds, from half of its maximum to its maximum
     */
    public long delayMillis(int retry, double random) {
        long doubled = initialMillis << Math.min(MAXIMUM_DOUBLINGS, Math.max(0, retry));
        long cappedMillis = Math.min(maximumMillis, doubled);
        return cappedMillis / 2 + (long) (random * (cappedMillis - cappedMillis / 2));
    }
}
