package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Holds the health of all servers that this entry has used. Not thread-safe. */
public final class ServerHealthRegistry {

    private final Map<Incarnation, ServerHealth> byIncarnation = new HashMap<>();

    /**
     * Returns the health of a server.
     *
     * @param server the server
     * @return its health, without history for a new incarnation
     */
    public ServerHealth get(DirectServer server) {
        return byIncarnation.computeIfAbsent(server.incarnation(), key -> new ServerHealth());
    }

    /**
     * Removes servers that are no longer usable and have no requests in flight.
     *
     * @param usable the servers that may get requests
     */
    public void retain(List<DirectServer> usable) {
        Set<Incarnation> kept =
                usable.stream().map(DirectServer::incarnation).collect(Collectors.toSet());
        byIncarnation
                .entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().inFlight() == 0 && !kept.contains(entry.getKey()));
    }
}
