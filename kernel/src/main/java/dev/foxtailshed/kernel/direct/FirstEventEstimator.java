package dev.foxtailshed.kernel.direct;

/**
 * Estimates the time to the first event, and from it how long a streamed request can wait for
 * capacity and still meet its latency objective.
 *
 * <p>Callers' deadlines differ between requests and do not show whether a request is a retry, so
 * every arrival is treated as a first attempt. Not thread-safe.
 */
public final class FirstEventEstimator {

    /**
     * Initial deviation: the part of the time to the first event that does not depend on the
     * prompt.
     */
    private static final double INITIAL_DEVIATION_MILLIS = 80;

    /** Initial estimate of the time per prompt token, at a loaded prefill server. */
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.05;

    /** Safety margin in deviations: even a slightly late request has used a full slot. */
    private static final double MARGIN_DEVIATIONS = 1.5;

    /** Weight of the newest sample: averages about the last ten requests. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /** Wait limit of a late request as a multiple of its objective; callers give up after four. */
    private static final long LATE_WAIT_OBJECTIVES = 2;

    private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;
    private double deviationMillis = INITIAL_DEVIATION_MILLIS;

    /**
     * Returns whether a request can no longer meet its latency objective.
     *
     * @param route the request's route
     * @param attributes the attributes sent by the caller
     * @param sinceArrivalMillis the time since the request arrived
     * @return true if it is already late
     */
    public boolean isLate(
            DirectRoute route, RequestAttributes attributes, long sinceArrivalMillis) {
        return slackMillis(route, attributes, sinceArrivalMillis) <= 0;
    }

    /**
     * Returns how long a request may wait for capacity.
     *
     * @param route the request's route
     * @param attributes the attributes sent by the caller
     * @param sinceArrivalMillis the time since the request arrived
     * @param late whether the request has missed its latency objective
     * @return the limit in milliseconds from now
     */
    public long waitLimitMillis(
            DirectRoute route,
            RequestAttributes attributes,
            long sinceArrivalMillis,
            boolean late) {
        return late
                ? LATE_WAIT_OBJECTIVES * route.targetLatencyMillis()
                : Math.max(0, slackMillis(route, attributes, sinceArrivalMillis));
    }

    /**
     * Records the time from a reservation to the first event.
     *
     * @param promptTokens the size of the prompt
     * @param millis the time
     */
    public void recordFirstEvent(long promptTokens, long millis) {
        double error = millis - millisPerToken * promptTokens;
        deviationMillis += SAMPLE_WEIGHT * (Math.abs(error) - deviationMillis);
        millisPerToken += SAMPLE_WEIGHT * error / Math.max(1, promptTokens);
    }

    private double estimateMillis(RequestAttributes attributes) {
        long tokens =
                attributes
                        .tokenCounts()
                        .map(RequestAttributes.TokenCounts::promptTokens)
                        .orElse(0L);
        return millisPerToken * tokens + MARGIN_DEVIATIONS * deviationMillis;
    }

    private long slackMillis(
            DirectRoute route, RequestAttributes attributes, long sinceArrivalMillis) {
        return route.targetLatencyMillis() - sinceArrivalMillis - (long) estimateMillis(attributes);
    }
}
