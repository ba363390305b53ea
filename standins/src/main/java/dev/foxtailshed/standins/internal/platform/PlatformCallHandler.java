package dev.foxtailshed.standins.internal.platform;

import dev.foxtailshed.standins.internal.http.Call;
import dev.foxtailshed.standins.internal.http.Json;
import dev.foxtailshed.standins.internal.http.Reply;
import dev.foxtailshed.standins.internal.http.StandInServer;
import java.util.concurrent.atomic.AtomicReference;

/** Handles the API calls and control calls of the platform. Thread-safe. */
public final class PlatformCallHandler {

    private static final String OBJECTS_PATH = "/v1/objects/";
    private static final String CONTROL_INSTANCES_PATH = "/control/instances/";
    private static final int DEFAULT_LIST_LIMIT = 1000;

    private final StandInServer server;
    private final InstanceList instances = new InstanceList();
    private final CallCounts counts = new CallCounts();
    private final ObjectStore store = new ObjectStore();
    private final AtomicReference<PlatformFaults> faults =
            new AtomicReference<>(PlatformFaults.NONE);
    private final ObjectCallHandler objectCallHandler;

    /**
     * Creates the handler with an empty object store and instance list.
     *
     * @param server the server, whose timer is used
     */
    public PlatformCallHandler(StandInServer server) {
        this.server = server;
        this.objectCallHandler = new ObjectCallHandler(server, store, counts, faults);
    }

    /**
     * Handles one call; unknown calls are answered with 404.
     *
     * @param call the call
     */
    public void handle(Call call) {
        if (call.path().startsWith("/control/")) {
            handleControl(call);
            return;
        }
        String instance = ObjectCallHandler.callerInstance(call);
        if (call.method().equals("GET")) {
            counts.addRead(instance);
        } else {
            counts.addWrite(instance);
            counts.addBytes(instance, call.body().length);
        }
        server.runAfterMillis(faults.get().delayMillis(), () -> serve(call));
    }

    private void serve(Call call) {
        if (faults.get().outage()) {
            call.reply(Reply.error(503, "outage"));
        } else if (call.path().startsWith(OBJECTS_PATH)) {
            objectCallHandler.handle(call, call.path().substring(OBJECTS_PATH.length()));
        } else if (isGet(call, "/v1/list")) {
            list(call);
        } else if (isGet(call, "/v1/instances")) {
            long lagMillis = faults.get().instanceLagMillis();
            reply(call, Json.CAMEL.write(instances.read(lagMillis)));
        } else {
            call.reply(Reply.error(404, "no such call"));
        }
    }

    private void list(Call call) {
        long limit = call.longParameter("limit").orElse(DEFAULT_LIST_LIMIT);
        if (limit < 1) {
            call.reply(Reply.error(400, "limit must be positive"));
            return;
        }
        String prefix = call.parameter("prefix").orElse("");
        String after = call.parameter("after").orElse("");
        int boundedLimit = (int) Math.min(limit, DEFAULT_LIST_LIMIT);
        reply(call, Json.CAMEL.write(store.list(prefix, after, boundedLimit)));
    }

    private void reply(Call call, String json) {
        Reply reply = Reply.json(200, json);
        counts.addBytes(ObjectCallHandler.callerInstance(call), reply.body().length);
        call.reply(reply);
    }

    private void handleControl(Call call) {
        if (isGet(call, "/control/counts")) {
            CallCounts.Snapshot snapshot = counts.snapshot(store.openWatchCount());
            call.reply(Reply.json(200, Json.CAMEL.write(snapshot)));
        } else if (call.path().equals("/control/faults") && call.method().equals("PUT")) {
            Json.CAMEL
                    .read(call.bodyText(), PlatformFaults.class)
                    .ifPresentOrElse(f -> setFaults(call, f), () -> badRequest(call));
        } else if (call.path().startsWith(CONTROL_INSTANCES_PATH)) {
            changeInstance(call, call.path().substring(CONTROL_INSTANCES_PATH.length()));
        } else {
            call.reply(Reply.error(404, "no such call"));
        }
    }

    private void setFaults(Call call, PlatformFaults newFaults) {
        faults.set(newFaults);
        if (newFaults.outage()) {
            store.notifyAllWatchers();
        }
        call.reply(Reply.empty(204));
    }

    private void changeInstance(Call call, String name) {
        if (call.method().equals("DELETE")) {
            instances.remove(name);
            call.reply(Reply.empty(204));
            return;
        }
        Json.CAMEL
                .read(call.bodyText(), InstanceList.Instance.class)
                .filter(InstanceList.Instance::isComplete)
                .ifPresentOrElse(
                        i -> {
                            instances.put(i.withName(name));
                            call.reply(Reply.empty(204));
                        },
                        () -> badRequest(call));
    }

    private static void badRequest(Call call) {
        call.reply(Reply.error(400, "malformed body"));
    }

    private static boolean isGet(Call call, String path) {
        return call.method().equals("GET") && call.path().equals(path);
    }
}
