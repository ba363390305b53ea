package dev.foxtailshed.kernel.routing;

import java.util.Map;
import java.util.Set;

/**
 * The requirements of a request on a backend server.
 *
 * @param zone the preferred availability zone
 * @param pieces the required KV pieces, zero for calls
 * @param promptTokens the estimated prompt tokens, zero for calls
 * @param transferBytes the size of the KV cache that the server would import
 * @param cachedTokensByServer estimated numbers of cached prompt tokens by server name
 * @param excluded the names of servers that must not be chosen
 */
public record Demand(
        String zone,
        int pieces,
        long promptTokens,
        long transferBytes,
        Map<String, Long> cachedTokensByServer,
        Set<String> excluded) {

    /** Copies the map and the set. */
    public Demand {
        cachedTokensByServer = Map.copyOf(cachedTokensByServer);
        excluded = Set.copyOf(excluded);
    }

    /**
     * Returns how many prompt tokens a server would have to process.
     *
     * @param server the name of the server
     * @return the prompt tokens less those that the server probably has cached
     */
    public long uncachedPromptTokens(String server) {
        return Math.max(0, promptTokens - cachedTokensByServer.getOrDefault(server, 0L));
    }
}
