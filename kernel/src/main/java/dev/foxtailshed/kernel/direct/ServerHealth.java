package dev.foxtailshed.kernel.direct;

/**
 * What the outcomes of real requests say about one server. Not thread-safe.
 *
 * <p>Consecutive hard failures put the server into quarantine, which grows with each further
 * failure; after it, one request at a time tries the server until one succeeds. No probes are sent.
 */
public final class ServerHealth {

    /** Hard failures in a row before quarantine; one may come from a stale connection. */
    private static final int FAILURES_TO_QUARANTINE = 2;

    /** The first quarantine; shorter than a typical restart, so that a blip costs little. */
    private static final long FIRST_QUARANTINE_MILLIS = 500;

    /** The longest quarantine; a server that is back must be found within seconds. */
    private static final long LONGEST_QUARANTINE_MILLIS = 4_000;

    /** Weight of the newest sample: about the last ten requests count. */
    private static final double SAMPLE_WEIGHT = 0.1;

    private int inFlight;
    private int failuresInRow;
    private long quarantineEndMillis = Long.MIN_VALUE;
    private boolean trialRunning;
    private double latencyMillis;
    private double errorRate;

    /** Notes that a request was sent. */
    public void recordStart() {
        inFlight++;
        trialRunning = failuresInRow >= FAILURES_TO_QUARANTINE;
    }

    /**
     * Notes how a request ended.
     *
     * @param outcome its outcome
     * @param tookMillis the time from sending to the outcome
     * @param nowMillis the time
     */
    public void recordEnd(CallOutcome outcome, long tookMillis, long nowMillis) {
        inFlight--;
        trialRunning = false;
        switch (outcome) {
            case ANSWERED -> {
                failuresInRow = 0;
                sample(tookMillis, 0);
            }
            case SERVER_ERROR -> {
                failuresInRow = 0;
                sample(tookMillis, 1);
            }
            case REFUSED, CANCELLED -> {}
            default -> failed(nowMillis);
        }
    }

    /**
     * Notes that a control call got no answer.
     *
     * @param nowMillis the time
     */
    public void recordNoResponse(long nowMillis) {
        failed(nowMillis);
    }

    /**
     * Tells whether the server may get a request.
     *
     * @param nowMillis the time
     * @return false in quarantine, and after it while another request tries the server
     */
    public boolean isEligible(long nowMillis) {
        if (failuresInRow < FAILURES_TO_QUARANTINE) {
            return true;
        }
        return nowMillis >= quarantineEndMillis && !trialRunning;
    }

    /**
     * Returns the requests under way.
     *
     * @return requests of this entry at the server
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the smoothed latency.
     *
     * @return milliseconds, 0 while nothing was measured
     */
    public double latencyMillis() {
        return latencyMillis;
    }

    /**
     * Returns the smoothed share of requests that end with an error of the server.
     *
     * @return a number from 0 to 1
     */
    public double errorRate() {
        return errorRate;
    }

    private void sample(long tookMillis, double error) {
        latencyMillis =
                latencyMillis == 0
                        ? tookMillis
                        : latencyMillis + SAMPLE_WEIGHT * (tookMillis - latencyMillis);
        errorRate += SAMPLE_WEIGHT * (error - errorRate);
    }

    private void failed(long nowMillis) {
        failuresInRow++;
        errorRate += SAMPLE_WEIGHT * (1 - errorRate);
        int doublings = Math.min(10, failuresInRow - FAILURES_TO_QUARANTINE);
        if (doublings >= 0) {
            quarantineEndMillis =
                    nowMillis
                            + Math.min(
                                    LONGEST_QUARANTINE_MILLIS,
                                    FIRST_QUARANTINE_MILLIS << doublings);
        }
    }
}
