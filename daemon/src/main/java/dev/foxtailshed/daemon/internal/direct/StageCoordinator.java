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
 * Sends stage changes to model servers while this entry holds the lease for them.
 *
 * <p>Every entry evaluates the plan; the entry that gets the lease carries it out. Each command has
 * the count of commands that the server reported just before, so that the server refuses a command
 * that arrives late or after another one. Runs on the entry's loop.
 */
final class StageCoordinator {

    /**
     * Mean time between two evaluations of the plan; varied randomly by half, so that entries do
     * not act in step.
     */
    private static final long PERIOD_MILLIS = 500;

    private final DirectContext context;
    private final EngineControlClient controlClient;
    private final StageChangeLease lease;
    private final String holder;
    private final BooleanSupplier loaded;
    private final Function<String, ModelService> modelServices;
    private final Map<String, StagePlanner> planners = new HashMap<>();
    private boolean commandInFlight;

    StageCoordinator(
            DirectContext context,
            EngineControlClient controlClient,
            StageChangeLease lease,
            String holder,
            BooleanSupplier loaded,
            Function<String, ModelService> modelServices) {
        this.modelServices = modelServices;
        this.context = context;
        this.controlClient = controlClient;
        this.lease = lease;
        this.holder = holder;
        this.loaded = loaded;
    }

    void start() {
        long spreadMillis = (long) (PERIOD_MILLIS * context.random().getAsDouble());
        context.schedule(PERIOD_MILLIS / 2 + spreadMillis, this::evaluate);
    }

    private void evaluate() {
        Optional<RouteTable> routes = context.view().routes();
        if (routes.isPresent() && context.view().isComplete() && !commandInFlight) {
            for (DirectService service : routes.get().services().values()) {
                service.engine().ifPresent(engine -> evaluate(service.name(), engine));
            }
        }
        start();
    }

    private void evaluate(String service, EngineSpec engine) {
        List<DirectServer> servers = context.view().servers().forService(service);
        StagePlanner planner = planners.computeIfAbsent(service, key -> new StagePlanner());
        double prefillShare = modelServices.apply(service).costEstimator().prefillShare(engine);
        Optional<Change> change =
                planner.decide(
                        servers,
                        context.view().servers().draining(service),
                        prefillShare,
                        loaded.getAsBoolean(),
                        context.timer().nowMillis());
        if (change.isPresent() && !commandInFlight) {
            commandInFlight = true;
            readState(planner, change.get(), engine);
        }
    }

    private void readState(StagePlanner planner, Change change, EngineSpec engine) {
        ServerProtocol protocol = context.platform().serverProtocol();
        controlClient.send(
                change.server(),
                protocol.newReadStateCall(),
                reply -> {
                    Optional<EngineState> state =
                            reply.isSuccess()
                                    ? protocol.parseState(reply.body())
                                    : Optional.empty();
                    boolean canChange =
                            state.isPresent()
                                    && !state.get().busy()
                                    && !state.get().stage().equals(Optional.of(change.stage()));
                    if (canChange) {
                        lease.acquire(
                                token ->
                                        sendStageChange(
                                                planner, change, engine, state.get(), token));
                    } else {
                        commandInFlight = false;
                    }
                });
    }

    private void sendStageChange(
            StagePlanner planner,
            Change change,
            EngineSpec engine,
            EngineState state,
            OptionalLong token) {
        if (token.isEmpty()) {
            commandInFlight = false;
            return;
        }
        controlClient.send(
                change.server(),
                context.platform()
                        .serverProtocol()
                        .newChangeStageCall(
                                change.stage(),
                                holder,
                                token.getAsLong(),
                                state.commandsAccepted()),
                reply -> onReply(planner, change, engine, token.getAsLong(), reply));
    }

    private void onReply(
            StagePlanner planner, Change change, EngineSpec engine, long token, Reply reply) {
        commandInFlight = false;
        EventLog.log(
                EventCode.STAGE_ORDERED,
                Field.of("server", change.server().id()),
                Field.of("stage", change.stage()),
                Field.of("fencingToken", token),
                Field.of("status", reply.status()));
        // Without a response, the server may still carry out the command, so it counts as sent.
        if (reply.isSuccess() || !reply.hasResponse()) {
            long nowMillis = context.timer().nowMillis();
            planner.recordStageChange(change, engine.stageSwitchMillis(), nowMillis);
            modelServices
                    .apply(change.server().service())
                    .recordStageChange(change.server(), nowMillis + engine.stageSwitchMillis());
        }
    }
}
