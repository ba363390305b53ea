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
 * <p>Answers servers whose handles lapse before they can be used: each prompt that they read is
 * wasted. Such a server is left alone, for longer each time, until a handle of it is used. Not
 * thread-safe.
 */
public final class PrefillSelector {

    /** Tokens that a server in another zone counts as busier; a tie should stay in the zone. */
    private static final long OTHER_ZONE_TOKENS = 500;

    /** First time that a server with lapsing handles is left alone: a handle's usual life. */
    private static final long FIRST_PAUSE_MILLIS = 500;

    /** Longest such time; a server that is well again must be found within seconds. */
    private static final long LONGEST_PAUSE_MILLIS = 2_000;

    private static final int MOST_DOUBLINGS = 10;

    private final String zone;
    private final Map<Incarnation, Long> tokens = new HashMap<>();
    private final Map<Incarnation, Lapses> lapses = new HashMap<>();

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
            if (tried.contains(server.incarnation())
                    || isAvoided(server, nowMillis)
                    || !board.of(server).isEligible(nowMillis)) {
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
     * Notes that a handle was refused by the decode server that should have used it.
     *
     * @param server the server that read the prompt
     * @param nowMillis the time
     */
    public void handleLapsed(DirectServer server, long nowMillis) {
        Lapses before = lapses.getOrDefault(server.incarnation(), new Lapses(0, 0));
        long pauseMillis = FIRST_PAUSE_MILLIS << Math.min(MOST_DOUBLINGS, before.inRow);
        lapses.put(
                server.incarnation(),
                new Lapses(
                        before.inRow + 1, nowMillis + Math.min(LONGEST_PAUSE_MILLIS, pauseMillis)));
    }

    /**
     * Notes that a handle was used.
     *
     * @param server the server that read the prompt
     */
    public void handleUsed(DirectServer server) {
        lapses.remove(server.incarnation());
    }

    /**
     * Forgets servers that are gone.
     *
     * @param usable the servers that may get requests
     */
    public void retain(List<DirectServer> usable) {
        lapses.keySet().retainAll(usable.stream().map(DirectServer::incarnation).toList());
    }

    private boolean isAvoided(DirectServer server, long nowMillis) {
        Lapses known = lapses.get(server.incarnation());
        return known != null && nowMillis < known.endMillis;
    }

    /** Handles of one server that lapsed in a row, and until when it is left alone. */
    private record Lapses(int inRow, long endMillis) {}

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
