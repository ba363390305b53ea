package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol;
import dev.foxtailshed.daemon.hosting.ServerProtocol.EngineState;
import dev.foxtailshed.daemon.internal.direct.EngineControlClient.Reply;
import dev.foxtailshed.daemon.internal.direct.StageChangeNotices.Notice;
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
 * <p>Every entry evaluates the plan; the entry that gets the lease carries it out. It announces a
 * change to the other entries before the command, and sends no command on a lease that has expired
 * meanwhile, for example because the process was paused. Each command has the count of commands
 * that the server reported just before, so that the server refuses a command that arrives late or
 * after another one. Runs on the entry's loop.
 */
final class StageCoordinator {

    /**
     * Mean time between two evaluations of the plan; varied randomly by half, so that entries do
     * not act in step.
     */
    private static final long PERIOD_MILLIS = 500;

    /**
     * Longest time from the announcement of a change to the command under load: most requests for
     * which capacity was reserved before have started by then.
     */
    private static final long NOTICE_LEAD_MILLIS = 500;

    /**
     * Time that a server may take, beyond its switch time, to finish its streams and report the new
     * stage.
     */
    private static final long FINISH_MILLIS = 8_000;

    private final DirectContext context;
    private final EngineControlClient controlClient;
    private final StageChangeLease lease;
    private final String holder;
    private final BooleanSupplier loaded;
    private final Function<String, ModelService> modelServices;
    private final Map<String, StagePlanner> planners = new HashMap<>();
    private final StageChangeNotices notices;
    private boolean commandInFlight;

    StageCoordinator(
            DirectContext context,
            EngineControlClient controlClient,
            StageChangeLease lease,
            StageChangeNotices notices,
            String holder,
            BooleanSupplier loaded,
            Function<String, ModelService> modelServices) {
        this.modelServices = modelServices;
        this.context = context;
        this.controlClient = controlClient;
        this.lease = lease;
        this.notices = notices;
        this.holder = holder;
        this.loaded = loaded;
    }

    void start() {
        long spreadMillis = (long) (PERIOD_MILLIS * context.random().getAsDouble());
        context.schedule(PERIOD_MILLIS / 2 + spreadMillis, this::evaluate);
    }

    private void evaluate() {
        lease.observeStore(context.view().servers().position());
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
        StagePlanner planner = planner(service);
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
                        long requestedMillis = context.timer().nowMillis();
                        lease.acquire(
                                token ->
                                        announce(
                                                new Command(
                                                        planner,
                                                        change,
                                                        engine,
                                                        state.get(),
                                                        requestedMillis + lease.durationMillis()),
                                                token));
                    } else {
                        commandInFlight = false;
                    }
                });
    }

    /**
     * A stage change to be commanded.
     *
     * @param planner the planner of the server's service
     * @param change the change
     * @param engine the specification of the service's servers
     * @param state the state that the server reported
     * @param leaseEndMillis the time at which the lease expires
     */
    private record Command(
            StagePlanner planner,
            Change change,
            EngineSpec engine,
            EngineState state,
            long leaseEndMillis) {

        Notice notice(long leadMillis) {
            return new Notice(
                    change.server().service(),
                    change.server().incarnation(),
                    change.stage(),
                    leadMillis,
                    leadMillis + engine.stageSwitchMillis() + FINISH_MILLIS);
        }
    }

    private void announce(Command command, OptionalLong token) {
        if (token.isEmpty()) {
            commandInFlight = false;
            return;
        }
        long leadMillis =
                loaded.getAsBoolean()
                        ? Math.min(NOTICE_LEAD_MILLIS, lease.durationMillis() / 2)
                        : 0;
        publish(command.notice(leadMillis));
        context.schedule(leadMillis, () -> send(command, token.getAsLong()));
    }

    private void publish(Notice notice) {
        modelServices.apply(notice.service()).recordNotice(notice);
        notices.send(notice);
    }

    /** Records the notice of another entry, so that this entry's plan takes the change as made. */
    void recordNotice(Notice notice) {
        lease.recordOtherHolder();
        Optional<EngineSpec> engine =
                context.view()
                        .routes()
                        .flatMap(routes -> routes.service(notice.service()))
                        .flatMap(DirectService::engine);
        if (engine.isEmpty()) {
            return;
        }
        modelServices.apply(notice.service()).recordNotice(notice);
        if (notice.durationMillis() > 0) {
            context.view().servers().forService(notice.service()).stream()
                    .filter(server -> server.incarnation().equals(notice.server()))
                    .forEach(
                            server ->
                                    planner(notice.service())
                                            .recordStageChange(
                                                    new Change(server, notice.stage()),
                                                    engine.get().stageSwitchMillis(),
                                                    context.timer().nowMillis()));
        }
    }

    private StagePlanner planner(String service) {
        return planners.computeIfAbsent(service, key -> new StagePlanner());
    }

    private void send(Command command, long token) {
        DirectServer server = command.change().server();
        if (context.timer().nowMillis() >= command.leaseEndMillis()) {
            EventLog.log(
                    EventCode.LEASE_EXPIRED,
                    Field.of("server", server.id()),
                    Field.of("fencingToken", token));
            publish(command.notice(0).withdrawn());
            commandInFlight = false;
            return;
        }
        controlClient.send(
                server,
                context.platform()
                        .serverProtocol()
                        .newChangeStageCall(
                                command.change().stage(),
                                holder,
                                token,
                                command.state().commandsAccepted()),
                reply -> onReply(command, token, reply));
    }

    private void onReply(Command command, long token, Reply reply) {
        commandInFlight = false;
        Change change = command.change();
        EventLog.log(
                EventCode.STAGE_ORDERED,
                Field.of("server", change.server().id()),
                Field.of("stage", change.stage()),
                Field.of("fencingToken", token),
                Field.of("status", reply.status()));
        // Without a response, the server may still carry out the command, so it counts as sent.
        if (reply.isSuccess() || !reply.hasResponse()) {
            command.planner()
                    .recordStageChange(
                            change,
                            command.engine().stageSwitchMillis(),
                            context.timer().nowMillis());
        } else {
            publish(command.notice(0).withdrawn());
        }
    }
}
