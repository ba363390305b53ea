package dev.foxtailshed.kernel.retry;

/**
 * Bounds retries to a share of the traffic, so that a loss of servers does not multiply the load.
 *
 * <p>Each request adds its share, each retry takes a whole unit. A small reserve lets a deployment
 * with little traffic retry at all, and a bound keeps a long calm from permitting a storm.
 *
 * <pre>{@code
 * budget.request(percent);
 * if (budget.tryRetry()) { ... }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class RetryBudget {

    private static final double RESERVE = 20;
    private static final double MOST = 60;
    private static final double PERCENT = 100;

    private double units = RESERVE;

    /**
     * Counts a request's first attempt.
     *
     * @param percent the retries permitted, in percent of first attempts
     */
    public synchronized void addRequest(int percent) {
        units = Math.min(MOST, units + percent / PERCENT);
    }

    /**
     * Takes the permission for one retry.
     *
     * @return whether there was one
     */
    public synchronized boolean tryRetry() {
        if (units < 1) {
            return false;
        }
        units--;
        return true;
    }
}
