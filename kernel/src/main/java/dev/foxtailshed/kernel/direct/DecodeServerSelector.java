package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;

/**
 * Chooses the decode server that is asked for a reservation next.
 *
 * <p>Answers a full pool seen through a narrow window: each entry knows only its own requests, and
 * a server's refusal is the one exact sign that it is full. A refused server is left alone for a
 * short pause or until one of this entry's requests ends there; among the others, the one with the
 * fewest tokens of this entry comes first. What ends at a full server goes to the entry that asks
 * next, so the pause is shorter the more requests wait: an entry with twice the arrivals asks twice
 * as often.
 *
 * <p>Also answers a server that is changing its stage: it still grants reservations and then
 * refuses each run, which wastes the prompt. Not thread-safe.
 */
public final class DecodeServerSelector {

    /** Pause after a refusal, about the time in which one of a full server's streams ends. */
    private static final long REFUSAL_PAUSE_MILLIS = 60;

    /** Shortest pause, several times the way to a server and back. */
    private static final long SHORTEST_PAUSE_MILLIS = 10;

    /** Tokens that a server in another zone counts as fuller; a tie should stay in the zone. */
    private static final long OTHER_ZONE_TOKENS = 1_500;

    /** First time that a server is left alone which grants reservations and refuses their runs. */
    private static final long FIRST_AVOIDANCE_MILLIS = 500;

    /** Longest such time; a server that is well again must be found within seconds. */
    private static final long LONGEST_AVOIDANCE_MILLIS = 4_000;

    private static final int MOST_DOUBLINGS = 10;

    private final String zone;
    private final DoubleSupplier random;
    private final Map<Incarnation, Use> uses = new HashMap<>();

    /**
     * Creates the chooser.
     *
     * @param zone the entry's availability zone
     * @param random numbers from 0 up to but not including 1, to choose among equals
     */
    public DecodeServerSelector(String zone, DoubleSupplier random) {
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses a server to ask.
     *
     * @param servers the decode servers
     * @param tried servers to leave out
     * @param board the servers' health
     * @param nowMillis the time
     * @return the server, or nothing if all are full, asked already or in quarantine
     */
    public Optional<DirectServer> choose(
            List<DirectServer> servers,
            Set<Incarnation> tried,
            ServerHealthRegistry board,
            long nowMillis) {
        DirectServer best = null;
        long bestTokens = Long.MAX_VALUE;
        int equals = 0;
        for (DirectServer server : servers) {
            Use use = use(server);
            if (tried.contains(server.incarnation())
                    || use.asking
                    || use.closedUntilMillis > nowMillis
                    || use.avoidedUntilMillis > nowMillis
                    || !board.get(server).isEligible(nowMillis)) {
                continue;
            }
            long tokens = use.tokens + (server.zone().equals(zone) ? 0 : OTHER_ZONE_TOKENS);
            equals = tokens < bestTokens ? 1 : equals + (tokens == bestTokens ? 1 : 0);
            boolean drawn = tokens == bestTokens && random.getAsDouble() * equals < 1;
            if (tokens < bestTokens || drawn) {
                bestTokens = tokens;
                best = server;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Notes that a server is being asked; until its answer it is not asked again.
     *
     * @param server the server
     */
    public void recordReservationRequest(DirectServer server) {
        use(server).asking = true;
    }

    /**
     * Notes a reservation.
     *
     * @param server the server
     * @param tokens the tokens reserved
     */
    public void recordReservation(DirectServer server, long tokens) {
        Use use = use(server);
        use.asking = false;
        use.tokens += tokens;
        use.requests++;
    }

    /**
     * Notes a refusal.
     *
     * @param server the server
     * @param waiting how many requests of this entry wait for capacity
     * @param nowMillis the time
     */
    public void recordRefusal(DirectServer server, int waiting, long nowMillis) {
        Use use = use(server);
        use.asking = false;
        long pauseMillis = REFUSAL_PAUSE_MILLIS / Math.max(1, waiting);
        use.closedUntilMillis = nowMillis + Math.max(SHORTEST_PAUSE_MILLIS, pauseMillis);
    }

    /**
     * Notes that a server refused to run a request for which it had reserved capacity.
     *
     * <p>A single refusal may be the fault of a lapsed handle. From the second in a row on, the
     * server is left alone, for longer each time.
     *
     * @param server the server
     * @param nowMillis the time
     */
    public void recordRunRefusal(DirectServer server, long nowMillis) {
        Use use = use(server);
        if (use.runRefusals > 0) {
            int doublings = Math.min(MOST_DOUBLINGS, use.runRefusals - 1);
            long pauseMillis = FIRST_AVOIDANCE_MILLIS << doublings;
            use.avoidedUntilMillis = nowMillis + Math.min(LONGEST_AVOIDANCE_MILLIS, pauseMillis);
        }
        use.runRefusals++;
    }

    /**
     * Notes that a server began to run a request.
     *
     * @param server the server
     */
    public void recordRunStart(DirectServer server) {
        use(server).runRefusals = 0;
        use(server).avoidedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Tells whether a server has refused to run the last requests that it had reserved capacity
     * for.
     *
     * @param server the server
     * @return true after two in a row
     */
    public boolean isRefusingRuns(DirectServer server) {
        return use(server).runRefusals > 1;
    }

    /**
     * Leaves a server alone that was ordered to do something else.
     *
     * @param server the server
     * @param untilMillis when it may be asked again
     */
    public void excludeUntil(DirectServer server, long untilMillis) {
        use(server).avoidedUntilMillis = untilMillis;
    }

    /**
     * Notes that a question got no usable answer.
     *
     * @param server the server
     */
    public void recordNoResponse(DirectServer server) {
        use(server).asking = false;
    }

    /**
     * Notes the end of a reservation or of the request that used it.
     *
     * @param server the server
     * @param tokens the tokens that were reserved
     */
    public void recordRelease(DirectServer server, long tokens) {
        Use use = use(server);
        use.tokens -= tokens;
        use.requests--;
        use.closedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Forgets servers that are gone and unused.
     *
     * @param usable the servers that may get requests
     */
    public void retain(List<DirectServer> usable) {
        Set<Incarnation> kept =
                usable.stream().map(DirectServer::incarnation).collect(Collectors.toSet());
        uses.entrySet()
                .removeIf(entry -> entry.getValue().isIdle() && !kept.contains(entry.getKey()));
    }

    private Use use(DirectServer server) {
        return uses.computeIfAbsent(server.incarnation(), key -> new Use());
    }

    /** What this entry has at one server. */
    private static final class Use {
        private long tokens;
        private int requests;
        private boolean asking;
        private long closedUntilMillis = Long.MIN_VALUE;
        private int runRefusals;
        private long avoidedUntilMillis = Long.MIN_VALUE;

        boolean isIdle() {
            return requests == 0 && !asking;
        }
    }
}
