package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import java.util.List;
import java.util.Objects;

/**
 * The crash of a server, and the requests whose answers it had been asked to begin.
 *
 * @param server the server; an incarnation crashes at most once
 * @param crashedMillis when it crashed, on the clock of this process
 * @param requests the requests without a response, or without a first event of a stream, at the
 *     time of the crash
 * @param runs the requests that the server was answering at the time of the crash
 */
public record ServerCrash(
        Incarnation server,
        long crashedMillis,
        List<RequestTraits> requests,
        List<BrokenRun> runs) {

    /** Checks the server and copies the lists. */
    public ServerCrash {
        Objects.requireNonNull(server, "server");
        requests = List.copyOf(requests);
        runs = List.copyOf(runs);
    }

    /**
     * Creates the crash of a server that was not answering any request.
     *
     * @param server the server
     * @param crashedMillis when it crashed, on the clock of this process
     * @param requests the requests without a response
     */
    public ServerCrash(Incarnation server, long crashedMillis, List<RequestTraits> requests) {
        this(server, crashedMillis, requests, List.of());
    }
}
