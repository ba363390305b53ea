package dev.foxtailshed.kernel.direct;

/**
 * The health of one server, derived from the outcomes of real requests. Not thread-safe.
 *
 * <p>Consecutive hard failures put the server into quarantine, which grows with each further
 * failure. After the quarantine, one request at a time is sent to the server as a probe, until one
 * succeeds. No other health probes are sent.
 */
public final class ServerHealth {

    /**
     * Consecutive hard failures before quarantine; a single one may come from a stale connection.
     */
    private static final int FAILURES_TO_QUARANTINE = 2;

    /** First quarantine; shorter than a typical restart, so that a brief fault costs little. */
    private static final long FIRST_QUARANTINE_MILLIS = 500;

    /** Maximum quarantine; a server that has recovered must be found within seconds. */
    private static final long MAXIMUM_QUARANTINE_MILLIS = 4_000;

    /** Weight of the newest sample: averages about the last ten requests. */
    private static final double SAMPLE_WEIGHT = 0.1;

    private int inFlight;
    private int consecutiveFailures;
    private long quarantineEndMillis = Long.MIN_VALUE;
    private boolean probeInFlight;
    private double latencyMillis;
    private double errorRate;

    /** Records that a request was sent. */
    public void recordStart() {
        inFlight++;
        probeInFlight = consecutiveFailures >= FAILURES_TO_QUARANTINE;
    }

    /**
     * Records the outcome of a request.
     *
     * @param outcome the outcome
     * @param tookMillis the time from sending the request to the outcome
     * @param nowMillis the current time
     */
    public void recordEnd(CallOutcome outcome, long tookMillis, long nowMillis) {
        inFlight--;
        probeInFlight = false;
        switch (outcome) {
            case ANSWERED -> {
                consecutiveFailures = 0;
                addSample(tookMillis, 0);
            }
            case SERVER_ERROR -> {
                consecutiveFailures = 0;
                addSample(tookMillis, 1);
            }
            case REFUSED, CANCELLED -> {}
            default -> recordFailure(nowMillis);
        }
    }

    /**
     * Records that a control call got no response.
     *
     * @param nowMillis the current time
     */
    public void recordNoResponse(long nowMillis) {
        recordFailure(nowMillis);
    }

    /**
     * Returns whether the server may get a request.
     *
     * @param nowMillis the current time
     * @return false in quarantine, and after it while a probe request is in flight
     */
    public boolean isEligible(long nowMillis) {
        if (consecutiveFailures < FAILURES_TO_QUARANTINE) {
            return true;
        }
        return nowMillis >= quarantineEndMillis && !probeInFlight;
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return this entry's requests at the server
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the smoothed latency.
     *
     * @return milliseconds; 0 before the first measurement
     */
    public double latencyMillis() {
        return latencyMillis;
    }

    /**
     * Returns the smoothed error rate.
     *
     * @return the share of requests that end with an error or a hard failure, from 0 to 1
     */
    public double errorRate() {
        return errorRate;
    }

    private void addSample(long tookMillis, double error) {
        latencyMillis =
                latencyMillis == 0
                        ? tookMillis
                        : latencyMillis + SAMPLE_WEIGHT * (tookMillis - latencyMillis);
        errorRate += SAMPLE_WEIGHT * (error - errorRate);
    }

    private void recordFailure(long nowMillis) {
        consecutiveFailures++;
        errorRate += SAMPLE_WEIGHT * (1 - errorRate);
        int doublings = Math.min(10, consecutiveFailures - FAILURES_TO_QUARANTINE);
        if (doublings >= 0) {
            quarantineEndMillis =
                    nowMillis
                            + Math.min(
                                    MAXIMUM_QUARANTINE_MILLIS,
                                    FIRST_QUARANTINE_MILLIS << doublings);
        }
    }
}
