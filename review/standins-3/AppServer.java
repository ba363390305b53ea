import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;

/** A server of the application service, which works on six requests at once and queues the rest. */
final class AppServer {

    final String id;
    final Map<String, Long> arrivals = new ConcurrentHashMap<>();
    private final Semaphore slots = new Semaphore(6, true);
    private final Record record;
    private final long workMillis;
    private final Wire.Listener listener;
    private volatile long bornMillis;

    AppServer(String id, Record record, long workMillis) throws IOException {
        this(id, record, workMillis, 0);
    }

    AppServer(String id, Record record, long workMillis, int port) throws IOException {
        this.id = id;
        this.record = record;
        this.workMillis = workMillis;
        this.bornMillis = System.currentTimeMillis();
        this.listener = new Wire.Listener(port, this::serve);
    }

    void setBorn(long millis) {
        bornMillis = millis;
    }

    int port() {
        return listener.port();
    }

    String storeEntry(String state) {
        return "{\"Service\":\"ligustro-app\",\"Address\":\"127.0.0.1:" + port()
                + "\",\"Zone\":\"ar-centro-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"" + state
                + "\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":" + bornMillis + "}";
    }

    /** Ends the server's process. */
    void exit() throws IOException {
        listener.crash();
    }

    private void serve(Wire.Connection connection) throws Exception {
        for (Wire.Message call = connection.read();
                call != null && call.complete;
                call = connection.read()) {
            String attempt = call.header("X-Attempt-Id", "");
            String expected = call.header("X-Expect-Instance", id);
            if (!expected.equals(id)) {
                connection.respond(
                        421, "X-Instance-Id: " + id + "\r\nX-Attempt-Id: " + attempt + "\r\n", "");
            } else if (call.target().equals("/health")) {
                connection.respond(200, "X-Instance-Id: " + id + "\r\n", "");
            } else {
                arrivals.put(attempt, record.nowMillis());
                record.add(id, "runs " + attempt);
                slots.acquire();
                try {
                    Thread.sleep(workMillis / 2 + ThreadLocalRandom.current().nextLong(workMillis));
                } finally {
                    slots.release();
                }
                connection.respond(
                        200,
                        "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal." + id + "\r\n",
                        "done " + attempt);
                record.add(id, "answered " + attempt);
            }
        }
    }
}
