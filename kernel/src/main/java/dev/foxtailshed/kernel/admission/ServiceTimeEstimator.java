package dev.foxtailshed.kernel.admission;

/**
 * Learns how much longer a started request takes to its first token than an idle server would need.
 *
 * <p>Predictions lie above most of what was seen, so that a request that is let in meets its
 * target. Thread-safe.
 */
public final class ServiceTimeEstimator {

    private static final double WEIGHT = 1.0 / 16;
    private static final double DEVIATIONS = 1.5;
    private static final double MOST_EXTRA_MILLIS = 10_000;

    private double meanExtraMillis;
    private double deviationMillis;

    /**
     * Predicts the time from the start to the first token.
     *
     * @param idleMillis what an idle server would need
     * @return the time
     */
    public synchronized long predictMillis(long idleMillis) {
        return idleMillis + (long) (meanExtraMillis + DEVIATIONS * deviationMillis);
    }

    /**
     * Learns from a first token.
     *
     * @param idleMillis what an idle server would have needed
     * @param tookMillis what it took
     */
    public synchronized void observe(long idleMillis, long tookMillis) {
        double extra = Math.max(0, Math.min(MOST_EXTRA_MILLIS, tookMillis - idleMillis));
        double difference = extra - meanExtraMillis;
        meanExtraMillis += WEIGHT * difference;
        deviationMillis += WEIGHT * (Math.abs(difference) - deviationMillis);
    }
}
