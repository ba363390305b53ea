package dev.foxtailshed.kernel.routing;

import java.util.List;
import java.util.Optional;

/** Chooses a backend server of a pool. Implementations are thread-safe. */
public interface Router {

    /**
     * Chooses a server.
     *
     * @param servers the servers of the pool
     * @param demand the requirements of the request
     * @return the server, or empty if none has enough free capacity
     */
    Optional<ServerView> choose(List<ServerView> servers, Demand demand);
}
