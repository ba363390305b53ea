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
 * Selects the decode server to which the next reservation request is sent.
 *
 * <p>An entry has no complete view of a pool: it sees only its own requests, and only a refusal
 * shows reliably that a server is full. A server that refused is excluded for a short pause or
 * until one of this entry's requests ends there; among the others, the one with the fewest tokens
 * of this entry is selected. Capacity that becomes free at a full server goes to the entry that
 * requests it next, so the pause is shorter the more requests wait: an entry with twice the
 * arrivals requests twice as often. Where workspaces compete, {@link AdmissionQueue#demand} weighs
 * workspaces and urgency instead.
 *
 * <p>A server that is changing its stage still grants reservations but then refuses every run,
 * which wastes the prefilled prompt, so such a server is excluded too. Not thread-safe.
 */
public final class DecodeServerSelector {

    /** Pause after a refusal: about the time until one of a full server's streams ends. */
    private static final long REFUSAL_PAUSE_MILLIS = 60;

    /** Minimum pause: several round trips to a server. */
    private static final long MINIMUM_PAUSE_MILLIS = 10;

    /** Least demand of an entry, which bounds the pause to twice that of a single request. */
    private static final double MINIMUM_DEMAND = 0.5;

    /** Tokens added to the load of a server in another zone, so that ties stay in the zone. */
    private static final long OTHER_ZONE_PENALTY_TOKENS = 1_500;

    /** First exclusion of a server that grants reservations but refuses their runs. */
    private static final long FIRST_EXCLUSION_MILLIS = 500;

    /** Maximum such exclusion; a server that has recovered must be found within seconds. */
    private static final long MAXIMUM_EXCLUSION_MILLIS = 4_000;

    private static final int MAXIMUM_DOUBLINGS = 10;

    private final String zone;
    private final DoubleSupplier random;
    private final Map<Incarnation, ServerUsage> usageByServer = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param zone the entry's availability zone
     * @param random random numbers in [0, 1), used to break ties
     */
    public DecodeServerSelector(String zone, DoubleSupplier random) {
        this.zone = zone;
        this.random = random;
    }

    /**
     * Selects the server for the next reservation request.
     *
     * @param servers the decode servers
     * @param tried servers to leave out
     * @param healthRegistry the health of the servers
     * @param urgent whether the reservation is for a request that leaves no capacity spare
     * @param nowMillis the current time
     * @return the server, or empty if every server is full, excluded, in quarantine, in {@code
     *     tried}, or has a request pending
     */
    public Optional<DirectServer> choose(
            List<DirectServer> servers,
            Set<Incarnation> tried,
            ServerHealthRegistry healthRegistry,
            boolean urgent,
            long nowMillis) {
        DirectServer best = null;
        long bestTokens = Long.MAX_VALUE;
        int ties = 0;
        for (DirectServer server : servers) {
            ServerUsage usage = usage(server);
            if (tried.contains(server.incarnation())
                    || usage.requestPending
                    || usage.pausedUntilMillis(urgent) > nowMillis
                    || usage.excludedUntilMillis > nowMillis
                    || !healthRegistry.get(server).isEligible(nowMillis)) {
                continue;
            }
            long tokens =
                    usage.tokens + (server.zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY_TOKENS);
            ties = tokens < bestTokens ? 1 : ties + (tokens == bestTokens ? 1 : 0);
            boolean winsTie = tokens == bestTokens && random.getAsDouble() * ties < 1;
            if (tokens < bestTokens || winsTie) {
                bestTokens = tokens;
                best = server;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Records that a reservation request was sent; the server is excluded until it responds.
     *
     * @param server the server
     */
    public void recordReservationRequest(DirectServer server) {
        usage(server).requestPending = true;
    }

    /**
     * Records that a server granted a reservation.
     *
     * @param server the server
     * @param tokens the reserved tokens
     */
    public void recordReservation(DirectServer server, long tokens) {
        ServerUsage usage = usage(server);
        usage.requestPending = false;
        usage.tokens += tokens;
        usage.requests++;
    }

    /**
     * Records that a server refused a reservation.
     *
     * <p>A server that has no room for an urgent request has none for the others, but not the other
     * way round, since those leave capacity spare.
     *
     * @param server the server
     * @param demand how strongly the requests of this entry that wait for capacity compete with
     *     those of other entries, 1 for a single one
     * @param urgent whether the reservation was for a request that leaves no capacity spare
     * @param nowMillis the current time
     */
    public void recordRefusal(DirectServer server, double demand, boolean urgent, long nowMillis) {
        ServerUsage usage = usage(server);
        usage.requestPending = false;
        long pauseMillis = (long) (REFUSAL_PAUSE_MILLIS / Math.max(MINIMUM_DEMAND, demand));
        usage.pausedUntilMillis = nowMillis + Math.max(MINIMUM_PAUSE_MILLIS, pauseMillis);
        if (urgent) {
            usage.urgentPausedUntilMillis = usage.pausedUntilMillis;
        }
    }

    /**
     * Records that a server refused to run a request for which it had granted a reservation.
     *
     * <p>A single refusal may be due to an expired handle. From the second consecutive refusal on,
     * the server is excluded, for longer each time.
     *
     * @param server the server
     * @param nowMillis the current time
     */
    public void recordRunRefusal(DirectServer server, long nowMillis) {
        ServerUsage usage = usage(server);
        if (usage.consecutiveRunRefusals > 0) {
            int doublings = Math.min(MAXIMUM_DOUBLINGS, usage.consecutiveRunRefusals - 1);
            long exclusionMillis = FIRST_EXCLUSION_MILLIS << doublings;
            usage.excludedUntilMillis =
                    nowMillis + Math.min(MAXIMUM_EXCLUSION_MILLIS, exclusionMillis);
        }
        usage.consecutiveRunRefusals++;
    }

    /**
     * Records that a server started to run a request.
     *
     * @param server the server
     */
    public void recordRunStart(DirectServer server) {
        usage(server).consecutiveRunRefusals = 0;
        usage(server).excludedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Returns whether a server has refused its most recent runs despite granting their
     * reservations.
     *
     * @param server the server
     * @return true after two consecutive refusals
     */
    public boolean isRefusingRuns(DirectServer server) {
        return usage(server).consecutiveRunRefusals > 1;
    }

    /**
     * Records that a reservation request got no usable response.
     *
     * @param server the server
     */
    public void recordNoResponse(DirectServer server) {
        usage(server).requestPending = false;
    }

    /**
     * Records the end of a reservation or of the request that used it.
     *
     * @param server the server
     * @param tokens the tokens that were reserved
     */
    public void recordRelease(DirectServer server, long tokens) {
        recordYieldedRelease(server, tokens);
        usage(server).pausedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Records the end of a reservation or of the request that used it, and leaves the freed
     * capacity to the entry that asks for it next: a pause after a refusal stays.
     *
     * @param server the server
     * @param tokens the tokens that were reserved
     */
    public void recordYieldedRelease(DirectServer server, long tokens) {
        ServerUsage usage = usage(server);
        usage.tokens -= tokens;
        usage.requests--;
        usage.urgentPausedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Discards the state of removed servers that have no requests of this entry.
     *
     * @param usable the servers that may get requests
     */
    public void retain(List<DirectServer> usable) {
        Set<Incarnation> kept =
                usable.stream().map(DirectServer::incarnation).collect(Collectors.toSet());
        usageByServer
                .entrySet()
                .removeIf(entry -> entry.getValue().isIdle() && !kept.contains(entry.getKey()));
    }

    private ServerUsage usage(DirectServer server) {
        return usageByServer.computeIfAbsent(server.incarnation(), key -> new ServerUsage());
    }

    /** This entry's reservations and requests at one server. */
    private static final class ServerUsage {
        private long tokens;
        private int requests;
        private boolean requestPending;
        private long pausedUntilMillis = Long.MIN_VALUE;
        private long urgentPausedUntilMillis = Long.MIN_VALUE;
        private int consecutiveRunRefusals;
        private long excludedUntilMillis = Long.MIN_VALUE;

        long pausedUntilMillis(boolean urgent) {
            return urgent ? urgentPausedUntilMillis : pausedUntilMillis;
        }

        boolean isIdle() {
            return requests == 0 && !requestPending;
        }
    }
}
