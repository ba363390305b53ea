import java.io.IOException;

/** A server of an application service, which answers each request with the name of its service. */
final class AppServer {

    final String id;
    final String service;
    private final Record record;
    private final Wire.Listener listener;
    private final long bornMillis = System.currentTimeMillis();

    AppServer(String id, String service, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.record = record;
        this.listener = new Wire.Listener(0, this::serve);
    }

    String storeEntry() {
        return "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + listener.port()
                + "\",\"Zone\":\"ar-centro-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\","
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
                record.add(id, "of " + service + " runs " + attempt);
                connection.respond(200, echo + "X-Server-Seal: seal." + id + "\r\n", service);
            }
        }
    }
}
