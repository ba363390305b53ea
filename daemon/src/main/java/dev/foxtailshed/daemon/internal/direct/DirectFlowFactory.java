package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.kernel.direct.DecodeServerSelector;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import dev.foxtailshed.kernel.direct.ServerSelector;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;

/** Makes the flow that fits a request, and keeps what flows share. Runs on the entry's loop. */
final class DirectFlowFactory implements DirectEndpoint.FlowFactory {

    /** How often the queues are checked; a fraction of any latency objective. */
    private static final long TICK_MILLIS = 20;

    /** How long after a request the deployment counts as loaded. */
    private static final long LOADED_MILLIS = 10_000;

    private final DirectContext context;
    private final String zone;
    private final IntSupplier entries;
    private final EngineControlClient control;
    private final ServerSelector selector;
    private final Map<String, ModelService> models = new HashMap<>();
    private long lastRequestMillis = Long.MIN_VALUE / 2;
    private volatile int waiting;

    DirectFlowFactory(DirectContext context, String zone, IntSupplier entries) {
        this.entries = entries;
        this.context = context;
        this.zone = zone;
        this.control = new EngineControlClient(context);
        this.selector = new ServerSelector(zone, context.health(), context.random());
    }

    void start() {
        context.timer().every(TICK_MILLIS, () -> context.loop().executeOrEnqueue(this::tick));
        context.view().subscribe(this::forgetDeparted);
    }

    /** Tells whether a request came within the last seconds. */
    boolean isLoaded() {
        return context.timer().nowMillis() - lastRequestMillis < LOADED_MILLIS;
    }

    /** Counts the requests that wait for decode capacity; from any thread, hence approximate. */
    int waiting() {
        return waiting;
    }

    EngineControlClient control() {
        return control;
    }

    @Override
    public DirectFlow create(CallerRequest request, CallerStream caller) {
        lastRequestMillis = context.timer().nowMillis();
        if (!request.route().repeatability().isStream()) {
            return new BufferedFlow(context, request, caller, selector);
        }
        Optional<TokenCounts> demand = request.terms().tokenCounts();
        if (request.service().engine().isPresent() && demand.isPresent()) {
            ModelService model = modelService(request.service().name());
            return new ModelFlow(context, request, caller, model, demand.get());
        }
        return new PlainStreamFlow(context, request, caller, selector);
    }

    /** Returns what the requests to a model service share. */
    ModelService modelService(String name) {
        return models.computeIfAbsent(
                name,
                key ->
                        new ModelService(
                                context,
                                control,
                                key,
                                zone,
                                new DecodeReservations(
                                        context,
                                        control,
                                        key,
                                        new DecodeServerSelector(zone, context.random())),
                                entries));
    }

    private void tick() {
        models.values().forEach(model -> model.reservations().tick());
        waiting = models.values().stream().mapToInt(m -> m.reservations().waiting()).sum();
    }

    private void forgetDeparted() {
        List<DirectServer> usable = context.view().servers().all();
        context.health().retain(usable);
        for (ModelService model : models.values()) {
            model.reservations().retain(usable);
            model.prefillSelector().retain(usable);
        }
    }
}
