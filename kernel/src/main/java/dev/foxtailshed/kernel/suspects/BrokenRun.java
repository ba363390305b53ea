package dev.foxtailshed.kernel.suspects;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A run of a request that ended with the crash of its server. Immutable and thread-safe.
 *
 * <p>Most such requests are harmless, as a crash breaks off all that a server runs.
 *
 * @param request the traits of the request
 * @param events the events of this run that had arrived; 0 if none had, as when it continues a
 *     stream, and 1 if the beginning of a response without events had arrived
 * @param durationMillis the time from sending the request to the server until it was broken off
 */
public record BrokenRun(RequestTraits request, int events, long durationMillis) {

    /** Difference between the times at which entries observe the same crash. */
    private static final long OBSERVATION_TOLERANCE_MILLIS = 50;

    /**
     * Returns whether the request was sent to the server after an earlier crash of another one, so
     * that the two crashes have no common cause outside of the request.
     *
     * @param earlierMillis the time of the earlier crash
     * @param crashedMillis the time of the crash that broke off this run
     * @return whether it was sent in between
     */
    boolean wasSentAfter(long earlierMillis, long crashedMillis) {
        return durationMillis <= crashedMillis - earlierMillis + OBSERVATION_TOLERANCE_MILLIS;
    }

    /**
     * Returns the run of each request that was sent last. A caller may send the same request again
     * while it runs, and only the last one may have been sent after an earlier crash.
     *
     * @param runs the runs that a crash broke off
     * @return one run of each request
     */
    static List<BrokenRun> latestOfEachRequest(Collection<BrokenRun> runs) {
        Map<RequestTraits, BrokenRun> latest = new LinkedHashMap<>();
        for (BrokenRun run : runs) {
            latest.merge(
                    run.request(), run, (a, b) -> a.durationMillis <= b.durationMillis ? a : b);
        }
        return List.copyOf(latest.values());
    }
}
