package dev.foxtailshed.kernel.admission;

/**
 * Estimates the time from the start of a request to its first token, from observed delays beyond
 * the time of an idle server.
 *
 * <p>Estimates exceed most observations, so that an admitted request meets its target. Thread-safe.
 */
public final class ServiceTimeEstimator {

    private static final double SMOOTHING_FACTOR = 1.0 / 16;
    private static final double DEVIATION_FACTOR = 1.5;
    private static final double MAXIMUM_EXTRA_MILLIS = 10_000;

    private double meanExtraMillis;
    private double deviationMillis;

    /**
     * Estimates the time from the start to the first token.
     *
     * @param idleMillis the time that an idle server would need
     * @return the estimated time in milliseconds
     */
    public synchronized long predictMillis(long idleMillis) {
        return idleMillis + (long) (meanExtraMillis + DEVIATION_FACTOR * deviationMillis);
    }

    /**
     * Updates the estimate when a first token has arrived.
     *
     * @param idleMillis the time that an idle server would have needed
     * @param tookMillis the time that the request took
     */
    public synchronized void observe(long idleMillis, long tookMillis) {
        double extra = Math.max(0, Math.min(MAXIMUM_EXTRA_MILLIS, tookMillis - idleMillis));
        double difference = extra - meanExtraMillis;
        meanExtraMillis += SMOOTHING_FACTOR * difference;
        deviationMillis += SMOOTHING_FACTOR * (Math.abs(difference) - deviationMillis);
    }
}
