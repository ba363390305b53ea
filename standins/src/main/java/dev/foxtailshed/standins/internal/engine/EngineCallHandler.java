package dev.foxtailshed.standins.internal.engine;

import dev.foxtailshed.standins.EngineSettings;
import dev.foxtailshed.standins.internal.http.Call;
import dev.foxtailshed.standins.internal.http.Json;
import dev.foxtailshed.standins.internal.http.Reply;
import dev.foxtailshed.standins.internal.http.StandInServer;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.eclipse.jetty.client.HttpClient;

/** Handles the API calls and control calls of an engine. Thread-safe. */
public final class EngineCallHandler {

    private static final String KV_PATH = "/v1/kv/";
    private static final String TAKE_SUFFIX = "/take";
    private static final Set<String> COMMANDS = Set.of("load_model", "unload_model", "set_role");

    private final EngineSettings settings;
    private final CacheEvents cacheEvents;
    private final Engine engine;
    private final FencingGuard fencing;
    private volatile EngineFaults faults;
    private volatile EngineState state;

    /**
     * Creates the handler for a server that is already listening.
     *
     * @param settings the settings of the engine
     * @param server the server, whose timer and address are used
     * @param client the HTTP client for imports of KV cache
     * @param crash the action of prompts that trigger a crash
     */
    public EngineCallHandler(
            EngineSettings settings, StandInServer server, HttpClient client, Runnable crash) {
        this.settings = settings;
        this.fencing = new FencingGuard(settings.checksFencing);
        this.faults = EngineFaults.none(settings);
        this.state = new EngineState("", settings.role);
        this.cacheEvents =
                new CacheEvents(
                        settings.cacheEventLagMillis,
                        settings.cacheEventLossPercent,
                        settings.seed);
        InetSocketAddress address = server.address();
        this.engine =
                new Engine(
                        settings,
                        server.scheduler(),
                        crash,
                        "http://" + address.getHostString() + ":" + address.getPort(),
                        listener ->
                                new KvTransferLink(
                                        client,
                                        server.scheduler(),
                                        settings.linkBytesPerSecond,
                                        listener),
                        cacheEvents);
    }

    /**
     * Handles one call; unknown calls are answered with 404.
     *
     * @param call the call
     */
    public void handle(Call call) {
        switch (call.method() + " " + call.path()) {
            case "POST /v1/completions" -> runFenced(call, () -> complete(call));
            case "POST /v1/cancel" -> runFenced(call, () -> cancel(call));
            case "POST /v1/orders" -> runFenced(call, () -> applyCommand(call));
            case "GET /v1/requests" -> reply(call, Json.SNAKE, engine.requestListing());
            case "GET /v1/load" -> reply(call, Json.SNAKE, engine.load(faults.loadLagMillis()));
            case "GET /v1/cache_events" -> {
                long after = call.longParameter("after").orElse(0);
                reply(call, Json.SNAKE, cacheEvents.eventsAfter(after));
            }
            case "GET /control/counts" -> reply(call, Json.CAMEL, engine.counts());
            case "GET /control/engine" -> reply(call, Json.CAMEL, state);
            case "PUT /control/engine" -> setState(call);
            case "PUT /control/faults" -> setFaults(call);
            default -> takeExport(call);
        }
    }

    private void runFenced(Call call, Runnable action) {
        if (call.header("X-Fencing-Number").isEmpty()) {
            action.run();
            return;
        }
        if (call.longHeader("X-Fencing-Number").isEmpty()) {
            badRequest(call);
        } else if (fencing.tryAccept(call.longHeader("X-Fencing-Number").getAsLong())) {
            action.run();
        } else {
            engine.countFencingRefusal();
            call.reply(Reply.error(409, "outdated fencing number"));
        }
    }

    private void complete(Call call) {
        Optional<CompletionRequest> request =
                Json.SNAKE
                        .read(call.bodyText(), CompletionRequest.class)
                        .filter(CompletionRequest::isWellFormed);
        if (request.isEmpty()) {
            badRequest(call);
            return;
        }
        String requestId =
                call.header("X-Request-Id").orElseGet(() -> UUID.randomUUID().toString());
        engine.admit(requestId, request.get(), call).ifPresent(call::reply);
    }

    private void cancel(Call call) {
        Optional<CancelBody> body =
                Json.SNAKE.read(call.bodyText(), CancelBody.class).filter(b -> b.requestId != null);
        if (body.isEmpty()) {
            badRequest(call);
            return;
        }
        engine.cancel(body.get().requestId);
        call.reply(Reply.json(200, "{}"));
    }

    private void applyCommand(Call call) {
        Optional<CommandBody> body =
                Json.SNAKE
                        .read(call.bodyText(), CommandBody.class)
                        .filter(b -> b.order != null && COMMANDS.contains(b.order));
        if (body.isEmpty()) {
            badRequest(call);
            return;
        }
        state = state.apply(body.get());
        call.reply(Reply.json(200, "{}"));
    }

    private void takeExport(Call call) {
        String path = call.path();
        if (!call.method().equals("POST")
                || !path.startsWith(KV_PATH)
                || !path.endsWith(TAKE_SUFFIX)) {
            call.reply(Reply.error(404, "no such call"));
            return;
        }
        String handle = path.substring(KV_PATH.length(), path.length() - TAKE_SUFFIX.length());
        boolean taken = engine.takeExport(handle);
        call.reply(taken ? Reply.json(200, "{}") : Reply.error(404, "no such export"));
    }

    private void setState(Call call) {
        Optional<EngineState> newState = Json.CAMEL.read(call.bodyText(), EngineState.class);
        if (newState.isEmpty()) {
            badRequest(call);
            return;
        }
        state = newState.get();
        call.reply(Reply.empty(204));
    }

    private void setFaults(Call call) {
        Optional<EngineFaults> newFaults =
                Json.CAMEL
                        .read(call.bodyText(), EngineFaults.class)
                        .map(f -> f.withDefaults(settings))
                        .filter(EngineFaults::isValid);
        if (newFaults.isEmpty()) {
            badRequest(call);
            return;
        }
        faults = newFaults.get();
        engine.setFaults(faults);
        call.reply(Reply.empty(204));
    }

    private static void reply(Call call, Json format, Object body) {
        call.reply(Reply.json(200, format.write(body)));
    }

    private static void badRequest(Call call) {
        call.reply(Reply.error(400, "malformed call"));
    }

    private record CancelBody(String requestId) {}

    private record CommandBody(String order, String model, String role) {}

    private record EngineState(String model, String role) {

        EngineState apply(CommandBody command) {
            return switch (command.order) {
                case "load_model" -> new EngineState(command.model, role);
                case "unload_model" -> new EngineState("", role);
                default -> new EngineState(model, command.role);
            };
        }
    }
}
