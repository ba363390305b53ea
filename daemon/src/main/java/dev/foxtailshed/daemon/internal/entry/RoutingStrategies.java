package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.admission.QueueOrder;
import dev.foxtailshed.kernel.manifest.Policy;
import dev.foxtailshed.kernel.manifest.Pool;
import dev.foxtailshed.kernel.manifest.RouterKind;
import dev.foxtailshed.kernel.routing.LeastLoadedRouter;
import dev.foxtailshed.kernel.routing.PlacementOrder;
import dev.foxtailshed.kernel.routing.RoundRobinRouter;
import dev.foxtailshed.kernel.routing.Router;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Creates the router, the queue order and the placement order of a routing policy. Thread-safe. */
final class RoutingStrategies {

    private static final long MAXIMUM_PREFILL_WAIT_MILLIS = 200;
    private static final long MAXIMUM_LINK_WAIT_MILLIS = 150;

    private final Map<String, Router> roundRobinByPool = new ConcurrentHashMap<>();

    Router router(Policy policy, Pool pool) {
        if (policy.router() == RouterKind.NAIVE) {
            return roundRobinByPool.computeIfAbsent(pool.name(), name -> new RoundRobinRouter());
        }
        return new LeastLoadedRouter(
                pool.prefillTokensPerSecond(),
                pool.linkBytesPerSecond(),
                policy.preferZonePenaltyMillis(),
                maximumWaitMillis(pool));
    }

    /**
     * Returns the longest wait at a server at which the server may still be chosen. A longer queue
     * there would leave granted decode reservations idle.
     */
    private static long maximumWaitMillis(Pool pool) {
        return switch (pool.kind()) {
            case PREFILL -> MAXIMUM_PREFILL_WAIT_MILLIS;
            case DECODE -> MAXIMUM_LINK_WAIT_MILLIS;
            case PLAIN -> Long.MAX_VALUE;
        };
    }

    static QueueOrder queueOrder(Policy policy) {
        return policy.router() == RouterKind.NAIVE
                ? new QueueOrder.ByArrival()
                : new QueueOrder.ByTarget();
    }

    /** Returns whether requests that cannot meet their target are refused immediately. */
    static boolean shedsEarly(Policy policy) {
        return policy.router() != RouterKind.NAIVE;
    }

    static PlacementOrder placementOrder(Policy policy) {
        return policy.router() == RouterKind.NAIVE
                ? new PlacementOrder.PrefillFirst()
                : new PlacementOrder.ReserveFirst();
    }
}
