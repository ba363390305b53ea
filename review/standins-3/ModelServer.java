import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A model server of either stage, which answers each run with a stream of three events. */
final class ModelServer {

    private static final AtomicLong NEXT = new AtomicLong();
    private static final Set<String> HANDLES = ConcurrentHashMap.newKeySet();

    final String id;
    private final String stage;
    private final Record record;
    private final Wire.Listener listener;
    private final long bornMillis = System.currentTimeMillis();

    ModelServer(String id, String stage, Record record) throws IOException {
        this.id = id;
        this.stage = stage;
        this.record = record;
        this.listener = new Wire.Listener(0, this::serve);
    }

    String storeEntry(String state) {
        return "{\"Service\":\"ligustro-lm\",\"Address\":\"127.0.0.1:" + listener.port()
                + "\",\"Zone\":\"ar-centro-a\",\"Version\":\"v1\",\"Slots\":48,\"State\":\"" + state
                + "\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":" + bornMillis
                + ",\"Stage\":\"" + stage + "\",\"Models\":[{\"Name\":\"m\",\"Version\":1,"
                + "\"Adapters\":[]}]}";
    }

    private void serve(Wire.Connection connection) throws Exception {
        for (Wire.Message call = connection.read();
                call != null && call.complete;
                call = connection.read()) {
            String attempt = call.header("X-Attempt-Id", "");
            String echo = "X-Attempt-Id: " + attempt + "\r\n";
            String path = call.target();
            boolean prefill = call.headers.containsKey("x-serving-stage");
            if (!call.header("X-Expect-Instance", id).equals(id)) {
                connection.respond(421, "X-Instance-Id: " + id + "\r\n" + echo, "");
            } else if (path.equals("/hold-take")) {
                connection.respond(200, "", "{\"Hold\":\"h" + NEXT.incrementAndGet() + "\"}");
            } else if (path.startsWith("/hold-drop/") || path.startsWith("/kv-handle/")) {
                HANDLES.remove(path.substring(path.lastIndexOf('/') + 1));
                connection.respond(200, "", "{}");
            } else if (path.equals("/report")) {
                connection.respond(
                        200,
                        "",
                        "{\"Stage\":\"" + stage + "\",\"Busy\":false,\"Sequence\":0,\"Waiting\":0,"
                                + "\"Running\":0}");
            } else if (path.equals("/order")) {
                connection.respond(409, "", "");
            } else if (prefill != stage.equals("prefill")) {
                connection.respond(421, echo, "");
            } else if (prefill) {
                String handle = "k" + NEXT.incrementAndGet();
                HANDLES.add(handle);
                connection.respond(
                        200,
                        echo,
                        "{\"Handle\":\"" + handle + "\",\"Tokens\":3200,\"Version\":1}");
            } else {
                run(connection, call, attempt, echo);
            }
        }
    }

    private void run(Wire.Connection connection, Wire.Message call, String attempt, String echo)
            throws Exception {
        String source = call.header("X-Kv-Source", "");
        if (!source.isEmpty() && !HANDLES.remove(source.substring(source.indexOf('/') + 1))) {
            connection.respond(503, "X-Not-Executed: 1\r\n" + echo, "");
            return;
        }
        record.add(id, "runs " + attempt + " with a body of " + call.body.length);
        StringBuilder stream = new StringBuilder();
        for (int event = 1; event <= 3; event++) {
            stream.append("id: " + event + "\ndata: piece\n\n");
        }
        connection.respond(
                200,
                echo + "X-Server-Seal: seal." + id + "\r\nContent-Type: text/event-stream\r\n",
                stream.toString());
    }
}
