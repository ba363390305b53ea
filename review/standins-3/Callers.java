import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that send requests over kept connections, each one request at a time. */
final class Callers {

    /** One request as its caller saw it. */
    record Result(
            String attempt,
            String entry,
            boolean safe,
            long sentMillis,
            long tookMillis,
            int status) {}

    final Map<String, Result> results = new ConcurrentHashMap<>();
    final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final Record record;
    private final List<Entry> entries;
    private final long pauseMillis;
    private final AtomicInteger nextId = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean running = true;

    Callers(Record record, List<Entry> entries, long pauseMillis) {
        this.record = record;
        this.entries = entries;
        this.pauseMillis = pauseMillis;
    }

    void start(int count) {
        for (int i = 0; i < count; i++) {
            Entry entry = entries.get(i % entries.size());
            boolean safe = i % 3 == 0;
            threads.add(Wire.startThread(() -> run(entry, safe)));
        }
    }

    void stop() throws InterruptedException {
        running = false;
        for (Thread thread : threads) {
            thread.join(5_000);
        }
    }

    private void run(Entry entry, boolean safe) throws Exception {
        Wire.Connection connection = null;
        while (running) {
            String attempt = (safe ? "read-" : "order-") + nextId.incrementAndGet();
            long sent = record.nowMillis();
            int status = 0;
            boolean complete = false;
            try {
                if (connection == null) {
                    connection = Wire.Connection.open(entry.callerPort, 4_000);
                }
                sentMillis.put(attempt, sent);
                String body = safe ? "" : "order " + attempt;
                connection.write(
                        (safe ? "GET /status/x" : "POST /order/x") + " HTTP/1.1\r\n"
                                + "Host: shop.example\r\nX-Attempt-Id: " + attempt
                                + "\r\nX-Deadline-Ms: 1500\r\n"
                                + (safe ? "" : "Content-Length: " + body.length() + "\r\n")
                                + "\r\n" + body);
                Wire.Message answer = connection.read();
                status = answer == null ? 0 : answer.status();
                complete = answer != null && answer.complete;
                if (!complete || answer.header("connection", "").equals("close")) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                connection = null;
            }
            long tookMillis = record.nowMillis() - sent;
            results.put(
                    attempt, new Result(attempt, entry.name, safe, sent, tookMillis, status));
            record.add(entry.name, attempt + " sent at " + sent + " ends with " + status);
            Thread.sleep(pauseMillis);
        }
    }

    /** The configuration of a service with a safe and an unsafe route, as on the site's sheet. */
    static String configuration() {
        String route =
                "{\"Name\":\"%s\",\"Host\":\"shop.example\",\"PathPrefix\":\"/%s/\",\"Kind\":\"%s\","
                        + "\"TimeoutMs\":800,\"TargetLatencyMs\":150,\"Priority\":2,"
                        + "\"Service\":\"ligustro-app\",\"Attempts\":%d}";
        return "{\"Version\":2,\"Routes\":["
                + String.format(route, "r-status", "status", "safe", 2) + ","
                + String.format(route, "r-order", "order", "unsafe", 1)
                + "],\"Services\":[{\"Name\":\"ligustro-app\",\"HealthCheckPath\":\"/health\","
                + "\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }
}
