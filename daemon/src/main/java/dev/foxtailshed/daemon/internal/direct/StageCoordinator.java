package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol;
import dev.foxtailshed.daemon.hosting.ServerProtocol.EngineState;
import dev.foxtailshed.daemon.internal.direct.EngineControlClient.Reply;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.direct.EngineSpec;
import dev.foxtailshed.kernel.direct.RouteTable;
import dev.foxtailshed.kernel.direct.StagePlanner;
import dev.foxtailshed.kernel.direct.StageSplitPolicy.Change;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * Orders model servers to change their stage, under the lease for orders.
 *
 * <p>Every entry evaluates the plan; the one that gets the lease acts on it. Before an order the
 * server's own count of orders is read and sent along, so that an order which comes late, or after
 * another one, is refused by the server. Runs on the entry's loop.
 */
final class StageCoordinator {

    /**
     * Time between two evaluations of the plan; varied by half, so that entries do not act in step.
     */
    private static final long PERIOD_MILLIS = 500;

    private final DirectContext context;
    private final EngineControlClient control;
    private final StageChangeLease lease;
    private final String holder;
    private final BooleanSupplier loaded;
    private final Function<String, ModelService> models;
    private final Map<String, StagePlanner> planners = new HashMap<>();
    private boolean ordering;

    StageCoordinator(
            DirectContext context,
            EngineControlClient control,
            StageChangeLease lease,
            String holder,
            BooleanSupplier loaded,
            Function<String, ModelService> models) {
        this.models = models;
        this.context = context;
        this.control = control;
        this.lease = lease;
        this.holder = holder;
        this.loaded = loaded;
    }

    void start() {
        long spreadMillis = (long) (PERIOD_MILLIS * context.random().getAsDouble());
        context.once(PERIOD_MILLIS / 2 + spreadMillis, this::evaluate);
    }

    private void evaluate() {
        Optional<RouteTable> routes = context.view().routes();
        if (routes.isPresent() && context.view().isComplete() && !ordering) {
            for (DirectService service : routes.get().services().values()) {
                service.engine().ifPresent(engine -> evaluate(service.name(), engine));
            }
        }
        start();
    }

    private void evaluate(String service, EngineSpec engine) {
        List<DirectServer> servers = context.view().servers().of(service);
        StagePlanner planner = planners.computeIfAbsent(service, key -> new StagePlanner());
        double prefillShare = models.apply(service).demand().prefillShare(engine);
        Optional<Change> change =
                planner.decide(
                        servers,
                        context.view().servers().leaving(service),
                        prefillShare,
                        loaded.getAsBoolean(),
                        context.timer().nowMillis());
        if (change.isPresent() && !ordering) {
            ordering = true;
            readState(planner, change.get(), engine);
        }
    }

    private void readState(StagePlanner planner, Change change, EngineSpec engine) {
        ServerProtocol protocol = context.platform().servers();
        control.send(
                change.server(),
                protocol.readState(),
                reply -> {
                    Optional<EngineState> state =
                            reply.isSuccess() ? protocol.state(reply.body()) : Optional.empty();
                    boolean free =
                            state.isPresent()
                                    && !state.get().busy()
                                    && !state.get().stage().equals(Optional.of(change.stage()));
                    if (free) {
                        lease.acquire(token -> order(planner, change, engine, state.get(), token));
                    } else {
                        ordering = false;
                    }
                });
    }

    private void order(
            StagePlanner planner,
            Change change,
            EngineSpec engine,
            EngineState state,
            OptionalLong token) {
        if (token.isEmpty()) {
            ordering = false;
            return;
        }
        control.send(
                change.server(),
                context.platform()
                        .servers()
                        .changeStage(
                                change.stage(), holder, token.getAsLong(), state.ordersAccepted()),
                reply -> ordered(planner, change, engine, token.getAsLong(), reply));
    }

    private void ordered(
            StagePlanner planner, Change change, EngineSpec engine, long token, Reply reply) {
        ordering = false;
        EventLog.log(
                EventCode.STAGE_ORDERED,
                Field.of("server", change.server().id()),
                Field.of("stage", change.stage()),
                Field.of("fencingToken", token),
                Field.of("status", reply.status()));
        // Without an answer the order may still be carried out: it counts as given for its time.
        if (reply.isSuccess() || !reply.isAnswer()) {
            long nowMillis = context.timer().nowMillis();
            planner.recordStageChange(change, engine.stageSwitchMillis(), nowMillis);
            models.apply(change.server().service())
                    .ordered(change.server(), nowMillis + engine.stageSwitchMillis());
        }
    }
}
