import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The ticketing service: it keeps each tenant's holds under the bytes of X-Tenant, and lists them to
 * requests of the same tenant. All its servers share one list, as they share one database.
 */
final class TicketServer {

    private static final Map<String, List<String>> HOLDS_BY_TENANT = new TreeMap<>();

    /** What a server has run: the request's id and the bytes of its X-Tenant. */
    record Run(String attempt, byte[] tenant, boolean hasKey) {}

    static final List<Run> RUNS = new ArrayList<>();

    final String id;
    private final Record record;
    private final Wire.Listener listener;
    private final long bornMillis = System.currentTimeMillis();

    TicketServer(String id, Record record) throws IOException {
        this.id = id;
        this.record = record;
        this.listener = new Wire.Listener(0, this::serve);
    }

    String storeEntry() {
        return "{\"Service\":\"ticket-desk\",\"Address\":\"127.0.0.1:" + listener.port()
                + "\",\"Zone\":\"attica-piraeus\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\","
                + "\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":" + bornMillis + "}";
    }

    private void serve(Wire.Connection connection) throws Exception {
        for (Wire.Message call = connection.read();
                call != null && call.complete;
                call = connection.read()) {
            String attempt = call.header("X-Attempt-Id", "");
            String echo = "X-Attempt-Id: " + attempt + "\r\n";
            if (!call.header("X-Expect-Instance", id).equals(id)) {
                connection.respond(421, "X-Instance-Id: " + id + "\r\n" + echo, "");
            } else if (call.target().equals("/health")) {
                connection.respond(200, "X-Instance-Id: " + id + "\r\n", "");
            } else {
                connection.respond(200, echo + "X-Server-Seal: seal." + id + "\r\n", run(call));
            }
        }
    }

    private String run(Wire.Message call) {
        String attempt = call.header("X-Attempt-Id", "");
        // Wire reads headers as ISO-8859-1, so that each character is one byte.
        String tenant = call.header("X-Tenant", "");
        byte[] bytes = tenant.getBytes(StandardCharsets.ISO_8859_1);
        synchronized (RUNS) {
            RUNS.add(new Run(attempt, bytes, call.headers.containsKey("x-api-key")));
            List<String> holds = HOLDS_BY_TENANT.computeIfAbsent(tenant, key -> new ArrayList<>());
            record.add(id, "runs " + attempt + " with X-Tenant of the bytes " + hex(bytes));
            if (call.method().equals("POST")) {
                holds.add(call.text());
            }
            return String.join(", ", holds);
        }
    }

    static String hex(byte[] bytes) {
        StringBuilder text = new StringBuilder("[");
        for (byte b : bytes) {
            text.append(String.format("%02x", b));
        }
        return text.append(']').toString();
    }
}
