package dev.foxtailshed.kernel.routing;

import java.util.Map;
import java.util.Set;

/**
 * What a request asks of a backend server.
 *
 * @param zone the availability zone to be near to
 * @param pieces KV pieces needed, zero for calls
 * @param promptTokens estimated prompt tokens, zero for calls
 * @param transferBytes size of the KV cache that the server would import
 * @param cachedTokensByServer prompt tokens that servers are believed to have cached, by name
 * @param excluded names of servers that must not be chosen
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
     * Returns what a server would have to read.
     *
     * @param server the name of the server
     * @return the prompt tokens that it is not believed to have cached
     */
    public long uncachedPromptTokens(String server) {
        return Math.max(0, promptTokens - cachedTokensByServer.getOrDefault(server, 0L));
    }
}
