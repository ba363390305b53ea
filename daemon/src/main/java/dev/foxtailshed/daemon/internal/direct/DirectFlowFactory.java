package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.kernel.direct.DecodeServerSelector;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import dev.foxtailshed.kernel.direct.RequestSizeEstimator;
import dev.foxtailshed.kernel.direct.ReservationSizer;
import dev.foxtailshed.kernel.direct.ServerSelector;
import dev.foxtailshed.kernel.direct.StageChangeTracker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Creates the flow for each request and holds the state that flows share. Runs on the entry's loop.
 */
final class DirectFlowFactory implements DirectEndpoint.FlowFactory {

    /** Period of the queue checks; a fraction of any latency objective. */
    private static final long TICK_MILLIS = 20;

    /** Time after a request for which the deployment counts as loaded. */
    private static final long LOADED_PERIOD_MILLIS = 10_000;

    private final DirectContext context;
    private final String zone;
    private final IntSupplier entryCount;
    private final EngineControlClient controlClient;
    private final CrashGuard crashGuard;
    private final ServerSelector selector;
    private final Map<String, ModelService> modelServices = new HashMap<>();
    private long lastRequestMillis = Long.MIN_VALUE / 2;
    private volatile int waitingRequests;

    DirectFlowFactory(
            DirectContext context,
            EngineControlClient controlClient,
            CrashGuard crashGuard,
            String zone,
            IntSupplier entryCount) {
        this.entryCount = entryCount;
        this.context = context;
        this.zone = zone;
        this.controlClient = controlClient;
        this.crashGuard = crashGuard;
        this.selector = new ServerSelector(zone, context.health(), context.random());
    }

    void start() {
        context.timer().every(TICK_MILLIS, () -> context.loop().executeOrEnqueue(this::tick));
        context.view().subscribe(this::removeDepartedServers);
    }

    /** Returns whether a request has arrived within the last seconds. */
    boolean isLoaded() {
        return context.timer().nowMillis() - lastRequestMillis < LOADED_PERIOD_MILLIS;
    }

    /**
     * Returns the number of requests that wait for decode capacity, as of the last tick. May be
     * called from any thread.
     */
    int waitingRequests() {
        return waitingRequests;
    }

    @Override
    public DirectFlow create(CallerRequest request, CallerStream caller) {
        lastRequestMillis = context.timer().nowMillis();
        CrashTracker crashTracker = new CrashTracker(crashGuard, context.timer(), request);
        if (!request.route().repeatability().isStream()) {
            return new BufferedFlow(
                    context, request, caller, crashTracker, servers(request), selector);
        }
        Optional<TokenCounts> demand = request.attributes().tokenCounts();
        if (request.service().engine().isPresent() && demand.isPresent()) {
            ModelService model = modelService(request.service().name());
            model.recordArrival(demand.get());
            return new ModelFlow(context, request, caller, crashTracker, model, demand.get());
        }
        return new PlainStreamFlow(
                context, request, caller, crashTracker, servers(request), selector);
    }

    private Supplier<List<DirectServer>> servers(CallerRequest request) {
        String service = request.service().name();
        return request.service().engine().isPresent()
                ? modelService(service)::decodeServers
                : () -> context.view().servers().decodeCapable(service);
    }

    /** Returns the shared state of the requests to a model service. */
    ModelService modelService(String name) {
        return modelServices.computeIfAbsent(name, this::newModelService);
    }

    private ModelService newModelService(String name) {
        RequestSizeEstimator sizes = new RequestSizeEstimator();
        StageChangeTracker stageChanges = new StageChangeTracker();
        DecodeReservations reservations =
                new DecodeReservations(
                        context,
                        controlClient,
                        name,
                        new DecodeServerSelector(zone, context.random()),
                        new ReservationSizer(sizes),
                        stageChanges);
        return new ModelService(
                context, controlClient, name, zone, reservations, sizes, stageChanges, entryCount);
    }

    private void tick() {
        modelServices.values().forEach(model -> model.reservations().tick());
        waitingRequests =
                modelServices.values().stream().mapToInt(m -> m.reservations().queueLength()).sum();
    }

    private void removeDepartedServers() {
        List<DirectServer> usable = context.view().servers().all();
        context.health().retain(usable);
        context.rateLimits().retain(usable);
        modelServices.values().forEach(model -> model.retain(usable));
    }
}
