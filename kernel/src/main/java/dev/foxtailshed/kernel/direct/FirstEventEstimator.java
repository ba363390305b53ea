package dev.foxtailshed.kernel.direct;

/**
 * Tells how long a streamed request can wait for capacity and still meet its objective.
 *
 * <p>Callers' deadlines differ from request to request, so they do not tell whether a caller comes
 * back; every arrival counts as a first attempt. Not thread-safe.
 */
public final class FirstEventEstimator {

    /** Time from reservation to first event besides the prompt, before any was measured. */
    private static final double FIRST_ESTIMATE_MILLIS = 80;

    /** Time for a prompt token before any was measured: a loaded prefill server. */
    private static final double FIRST_MILLIS_PER_TOKEN = 0.05;

    /** Deviations kept as a margin: a request that is only just late has cost a whole place. */
    private static final double MARGIN_DEVIATIONS = 1.5;

    /** Weight of the newest sample: about the last ten requests count. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /** How long a late request may wait, in multiples of its objective; callers leave at four. */
    private static final long LATE_WAIT_OBJECTIVES = 2;

    private double millisPerToken = FIRST_MILLIS_PER_TOKEN;
    private double deviationMillis = FIRST_ESTIMATE_MILLIS;

    /**
     * Tells whether a request can no longer meet its objective.
     *
     * @param route its route
     * @param terms what the caller says
     * @param sinceArrivalMillis the time since it arrived
     * @return true if it is late already
     */
    public boolean isLate(DirectRoute route, RequestAttributes terms, long sinceArrivalMillis) {
        return leftMillis(route, terms, sinceArrivalMillis) <= 0;
    }

    /**
     * Tells how long a request may wait for capacity.
     *
     * @param route its route
     * @param terms what the caller says
     * @param sinceArrivalMillis the time since it arrived
     * @param late whether it has missed its objective
     * @return the limit from now
     */
    public long waitLimitMillis(
            DirectRoute route, RequestAttributes terms, long sinceArrivalMillis, boolean late) {
        return late
                ? LATE_WAIT_OBJECTIVES * route.targetLatencyMillis()
                : Math.max(0, leftMillis(route, terms, sinceArrivalMillis));
    }

    /**
     * Notes the time from reservation to the first event.
     *
     * @param promptTokens the size of the prompt
     * @param millis the time
     */
    public void recordFirstEvent(long promptTokens, long millis) {
        double error = millis - millisPerToken * promptTokens;
        deviationMillis += SAMPLE_WEIGHT * (Math.abs(error) - deviationMillis);
        millisPerToken += SAMPLE_WEIGHT * error / Math.max(1, promptTokens);
    }

    private double serviceMillis(RequestAttributes terms) {
        long tokens =
                terms.tokenCounts().map(RequestAttributes.TokenCounts::promptTokens).orElse(0L);
        return millisPerToken * tokens + MARGIN_DEVIATIONS * deviationMillis;
    }

    private long leftMillis(DirectRoute route, RequestAttributes terms, long sinceArrivalMillis) {
        return route.targetLatencyMillis() - sinceArrivalMillis - (long) serviceMillis(terms);
    }
}
