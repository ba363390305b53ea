package dev.foxtailshed.kernel.retry;

/**
 * Limits retries to a percentage of the requests, so that a loss of servers does not multiply the
 * load.
 *
 * <p>Each request adds its percentage of one token, each retry takes one token. An initial reserve
 * permits retries to a deployment with little traffic, and a cap limits the burst of retries after
 * a long time without failures.
 *
 * <pre>{@code
 * budget.addRequest(percent);
 * if (budget.tryRetry()) { ... }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class RetryBudget {

    private static final double INITIAL_TOKENS = 20;
    private static final double MAXIMUM_TOKENS = 60;
    private static final double PERCENT = 100;

    private double tokens = INITIAL_TOKENS;

    /**
     * Adds the share of one request.
     *
     * @param percent the permitted retries in percent of first attempts
     */
    public synchronized void addRequest(int percent) {
        tokens = Math.min(MAXIMUM_TOKENS, tokens + percent / PERCENT);
    }

    /**
     * Takes one token for a retry.
     *
     * @return whether the retry is permitted
     */
    public synchronized boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
