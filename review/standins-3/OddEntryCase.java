import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Another writer overwrites the entries of servers once, with a service that nobody knows; the
 * servers write them again at their next check-in. Later a route to their service is added.
 *
 * <p>Broken if the route that was added is served less than a quarter as often as the first one.
 */
public final class OddEntryCase {

    private static final long HEARTBEAT_INTERVAL_MILLIS = 1_200;
    private static final long CONFIGURATION_APPLY_MILLIS = 2_000;
    private static final int ROUNDS = 60;

    private OddEntryCase() {}

    public static void main(String[] args) throws Exception {
        Path file = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("odd-entry");
        Record record = new Record();
        Store store = new Store(record);
        String first = route("order", "app-first");
        store.put("config", "main", configuration(2, first));
        List<AppServer> later = new ArrayList<>();
        for (String id : List.of("i-first-1", "i-first-2", "i-later-1", "i-later-2", "i-later-3")) {
            AppServer server = new AppServer(id, id.startsWith("i-first") ? "app-first" : "app-later", record);
            store.put("servers", id, server.storeEntry());
            if (id.startsWith("i-later")) {
                later.add(server);
            }
        }
        Entry one = new Entry("frontend-1", folder, store.port(), List.of());
        Entry two = new Entry("frontend-2", folder, store.port(), List.of(one.controlPort));
        List<Entry> entries = List.of(one, two);
        for (Entry entry : entries) {
            entry.start();
        }
        Thread.sleep(4_000);
        if (trouble) {
            for (AppServer server : later) {
                String odd =
                        server.storeEntry()
                                .replace("app-later", "unheard-of")
                                .replaceAll("\"born\":\\d+", "\"born\":" + System.currentTimeMillis());
                store.put("servers", server.id, odd);
                record.add("writer", "overwrites " + server.id + " with " + odd);
            }
        }
        Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
        for (AppServer server : later) {
            store.put("servers", server.id, server.storeEntry());
            record.add(server.id, "writes its entry again: " + server.storeEntry());
        }
        Thread.sleep(4_000);
        store.put("config", "main", configuration(5, first, route("added", "app-later")));
        record.add("store", "has accepted version 5, which adds a route to app-later");
        Thread.sleep(CONFIGURATION_APPLY_MILLIS + 1_000);

        int servedFirst = 0;
        int servedAdded = 0;
        for (int i = 0; i < ROUNDS; i++) {
            Entry entry = entries.get(i % entries.size());
            servedFirst += call(record, entry, "first-" + i, "order") == 200 ? 1 : 0;
            servedAdded += call(record, entry, "added-" + i, "added") == 200 ? 1 : 0;
            Thread.sleep(200);
        }
        String summary =
                "requests on each route " + ROUNDS + ": served on the first route " + servedFirst
                        + ", on the one that was added " + servedAdded;
        record.add("check", summary);
        record.write(file);
        for (Entry entry : entries) {
            entry.stop();
        }
        System.out.println(summary);
        if (servedFirst < ROUNDS / 2) {
            System.exit(2);
        }
        System.exit(servedAdded * 4 < servedFirst ? 1 : 0);
    }

    private static int call(Record record, Entry entry, String attempt, String route)
            throws Exception {
        try (Wire.Connection connection = Wire.Connection.open(entry.callerPort, 4_000)) {
            connection.write(
                    "GET /" + route + "/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                            + "\r\nX-Deadline-Ms: 1500\r\n\r\n");
            Wire.Message answer = connection.read();
            record.add(entry.name, attempt + " gets " + answer.status());
            return answer.status();
        }
    }

    private static String route(String name, String service) {
        return "{\"Name\":\"r-" + name + "\",\"Host\":\"shop.example\",\"PathPrefix\":\"/" + name
                + "/\",\"Kind\":\"safe\",\"TimeoutMs\":800,\"TargetLatencyMs\":150,\"Priority\":2,"
                + "\"Service\":\"" + service + "\",\"Attempts\":2}";
    }

    private static String configuration(int version, String... routes) {
        String service =
                "{\"Name\":\"%s\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":96,"
                        + "\"Protocol\":\"h1\",\"Tls\":false}";
        return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes)
                + "],\"Services\":[" + String.format(service, "app-first") + ","
                + String.format(service, "app-later")
                + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }
}
