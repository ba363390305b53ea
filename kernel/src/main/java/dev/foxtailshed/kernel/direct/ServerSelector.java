package dev.foxtailshed.kernel.direct;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Selects the backend server for a plain request.
 *
 * <p>The server with the lowest expected time is selected, which suits many short calls over few
 * servers. Errors count as lost time, so that a server that passes its health check but fails many
 * requests gets few of them. A server in another availability zone is charged the cost of crossing
 * zones. Not thread-safe.
 */
public final class ServerSelector {

    /** Latency assumed for a server without measurements, low enough that it is tried soon. */
    private static final double ASSUMED_LATENCY_MILLIS = 20;

    /** Cost of an error in multiples of the latency: the caller needs a complete retry. */
    private static final double ERROR_COST = 8;

    /** Cost of using another zone: a few milliseconds each way, and traffic that is charged for. */
    private static final double OTHER_ZONE_PENALTY_MILLIS = 8;

    /** Random part of the cost, so that entries do not all select the same server. */
    private static final double JITTER = 0.1;

    private final String zone;
    private final ServerHealthRegistry healthRegistry;
    private final DoubleSupplier random;

    /**
     * Creates a selector.
     *
     * @param zone the entry's availability zone
     * @param healthRegistry the health of the servers
     * @param random random numbers in [0, 1)
     */
    public ServerSelector(String zone, ServerHealthRegistry healthRegistry, DoubleSupplier random) {
        this.zone = zone;
        this.healthRegistry = healthRegistry;
        this.random = random;
    }

    /**
     * Selects a server.
     *
     * @param servers the servers of the service that may get requests
     * @param tried servers to which the request was already sent
     * @param nowMillis the current time
     * @return the server with the lowest cost, or empty if all were tried
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
        ServerHealth health = healthRegistry.get(server);
        double latencyMillis =
                health.latencyMillis() > 0 ? health.latencyMillis() : ASSUMED_LATENCY_MILLIS;
        double loadFactor = 1 + (double) health.inFlight() / Math.max(1, server.slots());
        double errorFactor = 1 + ERROR_COST * health.errorRate();
        double cost =
                latencyMillis * loadFactor * errorFactor * (1 + JITTER * random.getAsDouble());
        cost += server.zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY_MILLIS;
        // A quarantined server is used only as a last resort: it may be better than a certain
        // refusal.
        return health.isEligible(nowMillis) ? cost : cost + Integer.MAX_VALUE;
    }
}
