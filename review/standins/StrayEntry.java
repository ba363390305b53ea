import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/** Another writer leaves an entry that cannot be read; then a server drains. */
final class StrayEntry {
    /** Levels of arrays in the field that is of another type. */
    private static final int DEPTH = 300;

    private static final long DRAIN_TIMEOUT_MILLIS = 2_000;

    private StrayEntry() {}

    public static void main(String[] args) {
        Deployment.run(Path.of(args[0]), StrayEntry::holds);
    }

    private static boolean holds(Deployment deployment) throws IOException, InterruptedException {
        Record record = deployment.record;
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        Set<String> late = ConcurrentHashMap.newKeySet();
        AtomicReference<String> drained = new AtomicReference<>("");
        AtomicLong drainedMillis = new AtomicLong();
        ServerStandIn.Behaviour observed =
                new ServerStandIn.Behaviour() {
                    @Override
                    boolean respond(
                            ServerStandIn server,
                            Http.Message request,
                            OutputStream out,
                            Socket socket) {
                        runs.merge(server.id, 1, Integer::sum);
                        if (server.id.equals(drained.get())
                                && record.nowMillis() > drainedMillis.get() + DRAIN_TIMEOUT_MILLIS) {
                            late.add(request.header("x-attempt-id"));
                        }
                        return false;
                    }
                };
        Map<String, ServerStandIn> servers = new HashMap<>();
        for (int i = 1; i <= 3; i++) {
            String id = "app-" + i;
            servers.put(id, deployment.addServer(id, "app", null, observed));
        }
        Entry entry = deployment.startEntry("entry-1");
        Traffic traffic = new Traffic(record, entry.callers, 0);
        traffic.send(3_000, 17.2, 6.9, 0);
        if (Deployment.hasTrouble()) {
            String zone = "[".repeat(DEPTH) + "]".repeat(DEPTH);
            deployment.store.put(
                    "servers",
                    "stray",
                    servers.get("app-1")
                            .specification("a", "ready")
                            .replace("\"Zone\":\"a\"", "\"Zone\":" + zone));
            record.line("another writer leaves an entry");
        }
        traffic.send(5_000, 17.2, 6.9, 0);
        // The server that gets most requests, so that there is something to see.
        ServerStandIn leaving =
                servers.get(
                        Collections.max(runs.entrySet(), Map.Entry.comparingByValue()).getKey());
        deployment.store.put("servers", leaving.id, leaving.specification("a", "draining"));
        drainedMillis.set(record.nowMillis());
        drained.set(leaving.id);
        record.line(leaving.id + " is draining, acknowledged");
        traffic.send(10_000, 17.2, 6.9, 0);
        Thread.sleep(2_000);
        String result =
                late.size() + " requests reached the draining server later than DrainTimeoutMs after the ack";
        record.line(result);
        System.out.println(result);
        return late.isEmpty();
    }
}
