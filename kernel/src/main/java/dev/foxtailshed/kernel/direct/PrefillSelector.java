package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the server that reads a prompt: the one with the fewest tokens of this entry under way.
 *
 * <p>Not thread-safe.
 */
public final class PrefillSelector {

    /** Tokens that a server in another zone counts as busier; a tie should stay in the zone. */
    private static final long OTHER_ZONE_TOKENS = 500;

    private final String zone;
    private final Map<Incarnation, Long> tokens = new HashMap<>();

    /**
     * Creates the selector.
     *
     * @param zone the entry's availability zone
     */
    public PrefillSelector(String zone) {
        this.zone = zone;
    }

    /**
     * Chooses a server.
     *
     * @param servers the prefill servers
     * @param tried servers to leave out
     * @param board the servers' health
     * @param nowMillis the time
     * @return the server, or nothing if none is eligible
     */
    public Optional<DirectServer> choose(
            List<DirectServer> servers, Set<Incarnation> tried, HealthBoard board, long nowMillis) {
        DirectServer best = null;
        long bestTokens = Long.MAX_VALUE;
        for (DirectServer server : servers) {
            if (tried.contains(server.incarnation()) || !board.of(server).isEligible(nowMillis)) {
                continue;
            }
            long busy = tokens.getOrDefault(server.incarnation(), 0L);
            busy += server.zone().equals(zone) ? 0 : OTHER_ZONE_TOKENS;
            if (busy < bestTokens) {
                bestTokens = busy;
                best = server;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Notes that a prompt is being read.
     *
     * @param server the server
     * @param promptTokens its size
     */
    public void started(DirectServer server, long promptTokens) {
        tokens.merge(server.incarnation(), promptTokens, Long::sum);
    }

    /**
     * Notes that a prompt is no longer being read.
     *
     * @param server the server
     * @param promptTokens its size
     */
    public void ended(DirectServer server, long promptTokens) {
        tokens.computeIfPresent(
                server.incarnation(),
                (key, busy) -> busy > promptTokens ? busy - promptTokens : null);
    }
}
