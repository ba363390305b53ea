package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * The crash of a server, and the requests that it broke off.
 *
 * @param server the server; an incarnation crashes at most once
 * @param crashedMillis when it crashed, on the clock of this process
 * @param requests the last run of each request without a response, or without a first event of a
 *     stream, at the time of the crash
 * @param runs the last run of each request that the server was answering at the time of the crash
 */
public record ServerCrash(
        Incarnation server, long crashedMillis, List<BrokenRun> requests, List<BrokenRun> runs) {

    /**
     * Crashes within this time may have a common cause, as when servers are lost together with
     * their availability zone.
     */
    private static final long COMMON_CAUSE_MILLIS = 200;

    /** Checks the server, and keeps the last run of each request. */
    public ServerCrash {
        Objects.requireNonNull(server, "server");
        requests = BrokenRun.latestOfEachRequest(requests);
        runs = BrokenRun.latestOfEachRequest(runs);
    }

    /**
     * Creates the crash of a server that was not answering any request.
     *
     * @param server the server
     * @param crashedMillis when it crashed, on the clock of this process
     * @param requests the requests without a response
     */
    public ServerCrash(Incarnation server, long crashedMillis, List<BrokenRun> requests) {
        this(server, crashedMillis, requests, List.of());
    }

    /**
     * Returns all that the crash broke off.
     *
     * @return the requests without a response, then those that the server was answering
     */
    List<BrokenRun> brokenWork() {
        return Stream.concat(requests.stream(), runs.stream()).toList();
    }

    /**
     * Returns whether this crash may have the same cause as an earlier one, whatever was sent to
     * the servers.
     *
     * @param earlierMillis the time of the earlier crash
     * @return whether the crashes are within a short time
     */
    boolean isShortlyAfter(long earlierMillis) {
        return crashedMillis - earlierMillis <= COMMON_CAUSE_MILLIS;
    }

    /**
     * Returns whether a request that this crash broke off had been sent to the server after it had
     * been broken off by an earlier crash, as when it is retried at once.
     *
     * @param earlier the earlier crash
     * @return whether such a request had no answer at the time of either crash
     */
    boolean brokeOffRetryAfter(ServerCrash earlier) {
        return requests.stream()
                .filter(run -> run.wasSentAfter(earlier.crashedMillis, crashedMillis))
                .anyMatch(
                        run ->
                                earlier.requests.stream()
                                        .anyMatch(other -> other.request().equals(run.request())));
    }
}
