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

/** Chooses servers for one request to a model by the policy of its deployment. Immutable. */
final class ModelPlacement {

    private final EntryContext context;
    private final ResolvedModelRequest task;
    private final PlacementOrder order;
    private final Router prefillRouter;
    private final Router decodeRouter;
    private final PromptPrefix prefix;

    ModelPlacement(EntryContext context, ResolvedModelRequest task, PromptPrefix prefix) {
        this.context = context;
        this.task = task;
        this.prefix = prefix;
        this.order = RoutingStrategies.order(task.policy());
        this.prefillRouter = context.routers().router(task.policy(), task.prefillPool());
        this.decodeRouter = context.routers().router(task.policy(), task.decodePool());
    }

    PlacementOrder order() {
        return order;
    }

    /** Returns the prompt tokens that a prefill server would have to read. */
    long uncachedPromptTokens(SidecarConnection link) {
        long cached = prefix.cachedTokensByServer().getOrDefault(link.serverName(), 0L);
        return Math.max(1, task.promptTokens() - cached);
    }

    /** Chooses a server of the pool for that kind of work. */
    Optional<SidecarConnection> choose(
            WorkKind kind, int pieces, long transferBytes, Set<String> excluded) {
        boolean decodes = kind == WorkKind.DECODE;
        Demand demand =
                new Demand(
                        context.zone(),
                        pieces,
                        decodes ? 0 : task.promptTokens(),
                        decodes ? transferBytes : 0,
                        decodes ? Map.of() : prefix.cachedTokensByServer(),
                        excluded);
        Pool pool = decodes ? task.decodePool() : task.prefillPool();
        Router router = decodes ? decodeRouter : prefillRouter;
        return router.choose(context.fleet().views(task.serversOf(pool)), demand)
                .map(ServerView::name)
                .flatMap(context.fleet()::link);
    }
}
