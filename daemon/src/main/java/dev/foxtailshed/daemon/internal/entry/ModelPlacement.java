package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.manifest.Pool;
import dev.foxtailshed.kernel.routing.Demand;
import dev.foxtailshed.kernel.routing.PlacementOrder;
import dev.foxtailshed.kernel.routing.Router;
import dev.foxtailshed.kernel.routing.ServerView;
import dev.foxtailshed.wire.WorkKind;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the servers for one request to a model, according to the policy of its deployment.
 * Immutable.
 */
final class ModelPlacement {

    private final EntryContext context;
    private final ResolvedModelRequest request;
    private final PlacementOrder placementOrder;
    private final Router prefillRouter;
    private final Router decodeRouter;
    private final PromptPrefix prefix;

    ModelPlacement(EntryContext context, ResolvedModelRequest request, PromptPrefix prefix) {
        this.context = context;
        this.request = request;
        this.prefix = prefix;
        this.placementOrder = RoutingStrategies.placementOrder(request.policy());
        this.prefillRouter =
                context.routingStrategies().router(request.policy(), request.prefillPool());
        this.decodeRouter =
                context.routingStrategies().router(request.policy(), request.decodePool());
    }

    PlacementOrder placementOrder() {
        return placementOrder;
    }

    /**
     * Returns the estimated prompt tokens that a prefill server would have to process, at least
     * one.
     */
    long uncachedPromptTokens(SidecarConnection connection) {
        long cached = prefix.cachedTokensByServer().getOrDefault(connection.serverName(), 0L);
        return Math.max(1, request.promptTokens() - cached);
    }

    /** Chooses a server from the pool for the given kind of work. */
    Optional<SidecarConnection> choose(
            WorkKind kind, int pieces, long transferBytes, Set<String> excluded) {
        boolean isDecode = kind == WorkKind.DECODE;
        Demand demand =
                new Demand(
                        context.zone(),
                        pieces,
                        isDecode ? 0 : request.promptTokens(),
                        isDecode ? transferBytes : 0,
                        isDecode ? Map.of() : prefix.cachedTokensByServer(),
                        excluded);
        Pool pool = isDecode ? request.decodePool() : request.prefillPool();
        Router router = isDecode ? decodeRouter : prefillRouter;
        return router.choose(context.sidecars().views(request.serversOf(pool)), demand)
                .map(ServerView::name)
                .flatMap(context.sidecars()::connection);
    }
}
