import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Four clients send bodies within the configured limit in chunks of one byte.
 *
 * <p>Broken if, of the other requests that are unanswered at their route's timeout, more than half
 * have no answer half a second later.
 */
public final class Case13 {

    private static final int SENDERS = 4;
    private static final int BODY_BYTES = 4_000_000;
    private static final int WIRE_BYTES_PER_SECOND = 2_000_000;
    private static final long ROUTE_TIMEOUT_MILLIS = 800;
    private static final long SLACK_MILLIS = 500;
    private static final int SMALLEST_COUNT = 8;
    private static final long OBSERVED_MILLIS = 20_000;

    private Case13() {}

    public static void main(String[] args) throws Exception {
        Path file = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int chunkBytes = trouble ? 1 : 1_024;
        Path folder = Files.createTempDirectory("case13");
        Record record = new Record();
        Store store = new Store(record);
        store.put("config", "main", configuration());
        for (int i = 1; i <= 3; i++) {
            AppServer server = new AppServer("i-app-" + i, record, 40);
            store.put("servers", server.id, server.storeEntry("ready"));
            ModelServer model = new ModelServer("i-lm-" + i, i == 1 ? "prefill" : "decode", record);
            store.put("servers", model.id, model.storeEntry("ready"));
        }
        Entry first = new Entry("frontend-1", folder, store.port(), List.of());
        Entry second = new Entry("frontend-2", folder, store.port(), List.of(first.controlPort));
        List<Entry> entries = List.of(first, second);
        for (Entry entry : entries) {
            entry.start();
        }
        Callers callers = new Callers(record, entries, 120);
        callers.start(12);
        Thread.sleep(6_000);
        long beganMillis = record.nowMillis();
        List<Thread> senders = new ArrayList<>();
        for (int i = 1; i <= SENDERS; i++) {
            String attempt = "draft-" + i;
            senders.add(Wire.startThread(() -> send(record, first, attempt, chunkBytes)));
        }
        for (Thread sender : senders) {
            sender.join(Math.max(1, beganMillis + OBSERVED_MILLIS - record.nowMillis()));
        }
        Thread.sleep(3_000);
        long endMillis = record.nowMillis();
        callers.stop();

        int atTimeout = 0;
        int later = 0;
        int served = 0;
        for (Callers.Result result : callers.results.values()) {
            served += result.status() == 200 ? 1 : 0;
            if (!result.entry().equals(first.name)) {
                continue;
            }
            if (result.tookMillis() > ROUTE_TIMEOUT_MILLIS) {
                atTimeout++;
            }
            if (result.tookMillis() > ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS) {
                later++;
                record.add(
                        "check",
                        result.attempt() + " was sent " + (result.sentMillis() - beganMillis)
                                + " ms after the first chunk, and had no answer after "
                                + result.tookMillis() + " ms");
            }
        }
        String summary =
                "requests " + callers.results.size() + " to " + entries.size() + " entries, served "
                        + served + "; at " + first.name + " unanswered at their route's timeout "
                        + atTimeout + ", half a second later " + later + "; the process "
                        + (first.isAlive() ? "is alive" : "has ended") + "; observed for "
                        + (endMillis - beganMillis) + " ms after the first chunk";
        boolean alive = first.isAlive();
        record.add("check", summary);
        record.write(file);
        for (Entry entry : entries) {
            entry.stop();
        }
        System.out.println(summary);
        if (served < callers.results.size() / 4) {
            System.exit(2);
        }
        System.exit(!alive || later >= SMALLEST_COUNT && later * 2 > atTimeout ? 1 : 0);
    }

    /** Sends a body at an even rate. */
    private static void send(Record record, Entry entry, String attempt, int chunkBytes)
            throws Exception {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "y".repeat(chunkBytes) + "\r\n";
        int chunksPerBlock = Math.max(1, 20_000 / chunk.length());
        for (int i = 0; i < chunksPerBlock; i++) {
            block.write(chunk.getBytes());
        }
        String end;
        long sentBytes = 0;
        try (Wire.Connection connection = Wire.Connection.open(entry.callerPort, 16_000)) {
            connection.write(
                    "POST /draft/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                            + "\r\nX-Deadline-Ms: 14000\r\nX-Model: m\r\nX-Token-Counts: 3200,72\r\n"
                            + "X-Prompt-Prefix: aa:200," + attempt.hashCode() % 1000 + ":3000\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
            record.add(entry.name, attempt + " begins, in chunks of " + chunkBytes);
            long startNanos = System.nanoTime();
            long wireBytes = 0;
            for (long chunks = BODY_BYTES / chunkBytes; chunks > 0; chunks -= chunksPerBlock) {
                int count = (int) Math.min(chunks, chunksPerBlock);
                connection.out.write(block.toByteArray(), 0, count * chunk.length());
                sentBytes += (long) count * chunkBytes;
                wireBytes += (long) count * chunk.length();
                long dueNanos = startNanos + wireBytes * 1_000_000_000L / WIRE_BYTES_PER_SECOND;
                Thread.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
            }
            connection.write("0\r\n\r\n");
            Wire.Message answer = connection.read();
            end = answer == null ? "a closed connection" : "status " + answer.status();
        } catch (IOException e) {
            end = e.toString();
        }
        record.add(entry.name, attempt + " ends with " + end + " after " + sentBytes + " bytes");
    }

    private static String configuration() {
        String routes = Callers.configuration();
        String route =
                "{\"Name\":\"r-draft\",\"Host\":\"shop.example\",\"PathPrefix\":\"/draft/\","
                        + "\"Kind\":\"streaming\",\"TimeoutMs\":14000,\"TargetLatencyMs\":900,"
                        + "\"Priority\":1,\"Service\":\"ligustro-lm\",\"Attempts\":1,\"Sticky\":true,"
                        + "\"Resumable\":false,\"TargetGapMs\":300}";
        String service =
                "{\"Name\":\"ligustro-lm\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":290,"
                        + "\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":48,"
                        + "\"KvCacheTokens\":42121,\"KvTokenBytes\":18432,\"LinkMbps\":370000.0,"
                        + "\"Moves\":true,\"Backups\":true,\"HandleTtlS\":0.5,\"SwitchS\":6.0,"
                        + "\"PinMs\":4000.0,\"HoldMs\":2000.0,\"Models\":[{\"Name\":\"m\"}]}}";
        return routes.replace("\"Routes\":[", "\"Routes\":[" + route + ",")
                .replace("\"Services\":[", "\"Services\":[" + service + ",");
    }
}
