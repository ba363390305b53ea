import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A new version of the configuration moves a route to other services, drops one and adds one.
 *
 * <p>Broken if requests that are sent later than ConfigurationApplyMs after its ack are handled as
 * only the version before allows.
 */
public final class ConfigurationCase {

    private static final long CONFIGURATION_APPLY_MILLIS = 2_000;
    private static final int ROUNDS = 50;

    private ConfigurationCase() {}

    /**
     * Runs the case.
     *
     * @param args the file of the record; what is unusual in the new version: weights or version
     */
    public static void main(String[] args) throws Exception {
        Path file = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean weights = args[1].equals("weights");
        String split =
                trouble && weights
                        ? "{\"Service\":\"app-blue\",\"Weight\":99.5},{\"Service\":\"app-canary\",\"Weight\":0.5}"
                        : "{\"Service\":\"app-blue\",\"Weight\":995},{\"Service\":\"app-canary\",\"Weight\":5}";
        // Nanoseconds since 1970, as of 8 December 2026.
        String version = trouble && !weights ? "1796688000000000000" : "5";
        Path folder = Files.createTempDirectory("configuration");
        Record record = new Record();
        Store store = new Store(record);
        store.put(
                "config",
                "main",
                configuration(
                        "2",
                        route("order", "unsafe", "\"Service\":\"app-old\""),
                        route("dropped", "safe", "\"Service\":\"app-old\"")));
        for (String service : List.of("app-old", "app-blue", "app-canary")) {
            AppServer server = new AppServer("i-" + service, service, record);
            store.put("servers", server.id, server.storeEntry());
        }
        Entry first = new Entry("frontend-1", folder, store.port(), List.of());
        Entry second = new Entry("frontend-2", folder, store.port(), List.of(first.controlPort));
        List<Entry> entries = List.of(first, second);
        for (Entry entry : entries) {
            entry.start();
        }
        Thread.sleep(4_000);
        int servedBefore = 0;
        for (Entry entry : entries) {
            servedBefore += call(record, entry, "before", "POST /order/x").equals("app-old") ? 1 : 0;
        }
        store.put(
                "config",
                "main",
                configuration(
                        version,
                        route("order", "unsafe", "\"TrafficSplit\":[" + split + "]"),
                        route("added", "safe", "\"Service\":\"app-blue\"")));
        record.add("store", "has accepted version " + version + " with the split " + split);
        Thread.sleep(CONFIGURATION_APPLY_MILLIS + 1_000);

        int byOldService = 0;
        int onDroppedRoute = 0;
        int addedRefused = 0;
        for (int i = 0; i < ROUNDS; i++) {
            Entry entry = entries.get(i % entries.size());
            byOldService += call(record, entry, "order-" + i, "POST /order/x").equals("app-old") ? 1 : 0;
            onDroppedRoute += call(record, entry, "drop-" + i, "GET /dropped/x").startsWith("app-") ? 1 : 0;
            addedRefused += call(record, entry, "added-" + i, "GET /added/x").equals("404") ? 1 : 0;
            Thread.sleep(100);
        }
        String summary =
                "of " + ROUNDS + " each, later than ConfigurationApplyMs after the ack: run by the old"
                        + " service " + byOldService + ", run on the dropped route " + onDroppedRoute
                        + ", refused with 404 on the added route " + addedRefused;
        record.add("check", summary);
        record.write(file);
        for (Entry entry : entries) {
            entry.stop();
        }
        System.out.println(summary);
        if (servedBefore < entries.size()) {
            System.exit(2);
        }
        System.exit(byOldService + onDroppedRoute + addedRefused > 0 ? 1 : 0);
    }

    /** Sends a request and returns the answer's body if it is a success, else its status. */
    private static String call(Record record, Entry entry, String attempt, String line)
            throws Exception {
        String body = line.startsWith("POST") ? "order" : "";
        try (Wire.Connection connection = Wire.Connection.open(entry.callerPort, 4_000)) {
            connection.write(
                    line + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt + "-"
                            + entry.name + "\r\nX-Deadline-Ms: 1500\r\n"
                            + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
                            + "\r\n" + body);
            Wire.Message answer = connection.read();
            String result = answer.status() == 200 ? answer.text() : "" + answer.status();
            record.add(entry.name, attempt + ", " + line + ", gets " + result);
            return result;
        }
    }

    private static String route(String name, String kind, String service) {
        return "{\"Name\":\"r-" + name + "\",\"Host\":\"shop.example\",\"PathPrefix\":\"/" + name
                + "/\",\"Kind\":\"" + kind + "\",\"TimeoutMs\":800,\"TargetLatencyMs\":150,"
                + "\"Priority\":2," + service + ",\"Attempts\":1}";
    }

    private static String configuration(String version, String... routes) {
        String service =
                "{\"Name\":\"%s\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":96,"
                        + "\"Protocol\":\"h1\",\"Tls\":false}";
        return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes)
                + "],\"Services\":[" + String.format(service, "app-old") + ","
                + String.format(service, "app-blue") + "," + String.format(service, "app-canary")
                + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }
}
