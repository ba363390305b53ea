package dev.foxtailshed.kernel.direct;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Chooses the backend server for a plain request.
 *
 * <p>Answers a load of short calls over few servers: the expected time decides, in which errors
 * count as lost time, so that a server that fails many requests with a good health check loses its
 * share. The own availability zone is preferred by what crossing zones costs. Not thread-safe.
 */
public final class ServerSelector {

    /** Latency assumed of a server without measurements, so that it is tried soon. */
    private static final double ASSUMED_LATENCY_MILLIS = 20;

    /** What an error costs, in multiples of the latency: the caller pays for a whole retry. */
    private static final double ERROR_COST = 8;

    /** Cost of leaving the own zone; a few milliseconds both ways, and bytes that are priced. */
    private static final double OTHER_ZONE_MILLIS = 8;

    /** Part of the cost that is random, so that entries do not choose in step. */
    private static final double JITTER = 0.1;

    private final String zone;
    private final ServerHealthRegistry board;
    private final DoubleSupplier random;

    /**
     * Creates a selector.
     *
     * @param zone the entry's availability zone
     * @param board the servers' health
     * @param random numbers from 0 up to but not including 1
     */
    public ServerSelector(String zone, ServerHealthRegistry board, DoubleSupplier random) {
        this.zone = zone;
        this.board = board;
        this.random = random;
    }

    /**
     * Chooses a server.
     *
     * @param servers the servers of the service that may get requests
     * @param tried servers that had the request already
     * @param nowMillis the time
     * @return the best server, or nothing if all were tried
     */
    public Optional<DirectServer> choose(
            List<DirectServer> servers, Set<DirectServer.Incarnation> tried, long nowMillis) {
        DirectServer best = null;
        double bestCost = Double.MAX_VALUE;
        for (DirectServer server : servers) {
            if (tried.contains(server.incarnation())) {
                continue;
            }
            double cost = cost(server, nowMillis);
            if (cost < bestCost) {
                bestCost = cost;
                best = server;
            }
        }
        return Optional.ofNullable(best);
    }

    private double cost(DirectServer server, long nowMillis) {
        ServerHealth health = board.get(server);
        double latency =
                health.latencyMillis() > 0 ? health.latencyMillis() : ASSUMED_LATENCY_MILLIS;
        double load = 1 + (double) health.inFlight() / Math.max(1, server.slots());
        double errors = 1 + ERROR_COST * health.errorRate();
        double cost = latency * load * errors * (1 + JITTER * random.getAsDouble());
        cost += server.zone().equals(zone) ? 0 : OTHER_ZONE_MILLIS;
        // A quarantined server remains the last resort: it may be better than a certain refusal.
        return health.isEligible(nowMillis) ? cost : cost + Integer.MAX_VALUE;
    }
}
