import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A server of a plain service. It runs what it is sent and writes that into the record. */
class AppServer {
    final String id;
    final String service;
    final long workMillis;
    private final CaseRecord record;
    private final Http.Server http;

    /** Whether answers say that the server is leaving. */
    volatile boolean leaving;

    private volatile boolean stopped;

    private final long bornMillis = System.currentTimeMillis();

    AppServer(String id, String service, long workMillis, CaseRecord record) throws IOException {
        this.id = id;
        this.service = service;
        this.workMillis = workMillis;
        this.record = record;
        this.http = new Http.Server(this::handle);
    }

    String address() {
        return http.address();
    }

    /** Returns the entry that the server writes about itself into the store. */
    JsonObject entry(String state) {
        JsonObject entry = new JsonObject();
        entry.addProperty("Service", service);
        entry.addProperty("Address", address());
        entry.addProperty("Zone", "z1");
        entry.addProperty("Version", "v1");
        entry.addProperty("Slots", 24);
        entry.addProperty("State", state);
        entry.addProperty("ColdRemainingMs", 0);
        entry.addProperty("Sequence", 1);
        entry.addProperty("born", bornMillis);
        return entry;
    }

    /** Ends the server as its process would end. */
    void stop() {
        stopped = true;
        http.stop();
    }

    private void handle(Http.Message request, Http.Connection connection) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String attempt = request.header("x-attempt-id");
        if (attempt != null) {
            headers.put("X-Attempt-Id", attempt);
        }
        if (leaving) {
            headers.put("Server-Leaving", "1");
        }
        String expected = request.header("x-expect-instance");
        if (expected != null && !expected.equals(id)) {
            headers.put("X-Instance-Id", id);
            connection.respond(421, headers, new byte[0]);
            return;
        }
        if (request.target().equals("/health")) {
            headers.put("X-Instance-Id", id);
            connection.respond(leaving ? 503 : 200, headers, new byte[0]);
            return;
        }
        record.ran(id, attempt, request.method(), request.target(), request.body.length);
        try {
            Thread.sleep(workMillis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        if (stopped) {
            throw new IOException("the server has ended");
        }
        byte[] body = ("answer of " + id + " to " + attempt).getBytes(StandardCharsets.UTF_8);
        headers.put("X-Server-Seal", "3e1b.07.5a2." + body.length + ".0." + attempt);
        connection.respond(200, headers, body);
    }
}
