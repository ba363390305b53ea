import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A backend server as PROTOCOL.md describes it: a plain server, a prefill server or a decode server.
 *
 * <p>Each request that it runs goes into the record. A subclass of {@link Behaviour} adds the
 * disruption of a case.
 */
class ServerStandIn {
    private static final int QUEUE = 24;
    private static final int EVENTS = 30;
    private static final long EVENT_MILLIS = 10;

    final String id;
    final String service;
    final String stage;
    private final int slots;
    private final long workMillis;
    private final Record record;
    private final Behaviour behaviour;
    private final Listener listener;
    private final Semaphore free;
    private final AtomicInteger present = new AtomicInteger();
    private final AtomicLong handles = new AtomicLong();
    private volatile long born = System.currentTimeMillis();

    /** What a server does differently from a sound one. */
    static class Behaviour {
        /** Responds instead of the server if the result is true; called when a run begins. */
        boolean respond(ServerStandIn server, Http.Message request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
            return false;
        }
    }

    ServerStandIn(
            String id,
            String service,
            String stage,
            int slots,
            long workMillis,
            Record record,
            Behaviour behaviour,
            int port)
            throws IOException {
        this.id = id;
        this.service = service;
        this.stage = stage;
        this.slots = slots;
        this.workMillis = workMillis;
        this.record = record;
        this.behaviour = behaviour;
        this.free = new Semaphore(slots, true);
        this.listener = new Listener(port, this::handle);
    }

    String address() {
        return listener.address();
    }

    int port() {
        return listener.port();
    }

    /** Sets the start that the server states, which it has read from its machine's clock. */
    void setBorn(long millis) {
        born = millis;
    }

    long born() {
        return born;
    }

    void crash() throws IOException {
        listener.crash();
    }

    String specification(String zone, String state) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"" + address() + "\",\"Zone\":\""
                + zone + "\",\"Version\":\"1\",\"Slots\":" + slots + ",\"State\":\"" + state
                + "\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":" + born
                + (stage == null ? "" : ",\"Stage\":\"" + stage + "\",\"Models\":[]") + "}";
    }

    private boolean handle(Http.Message request, InputStream in, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        String expected = request.header("x-expect-instance");
        String path = request.target();
        String attempt = request.header("x-attempt-id");
        if (expected != null && !expected.equals(id)) {
            refuse(out, 421, attempt);
        } else if (path.equals("/health")) {
            Http.write(out, "HTTP/1.1 200 OK", "X-Instance-Id: " + id + "\r\n", "");
        } else if (path.equals("/report")) {
            json(out, 200, null, "{\"Stage\":\"" + stage
                    + "\",\"Models\":[],\"Busy\":false,\"Sequence\":0,\"Waiting\":0,\"Running\":0,"
                    + "\"KvCacheUsed\":0,\"KvCacheTotal\":42000,\"KvHandles\":0}");
        } else if (path.equals("/hold-take")) {
            json(out, 200, null, "{\"Hold\":\"h" + handles.incrementAndGet() + "\"}");
        } else if (path.startsWith("/hold-drop/") || path.startsWith("/kv-handle/")) {
            json(out, 200, null, "{}");
        } else if (path.equals("/order")) {
            json(out, 202, null, "{}");
        } else if (attempt == null) {
            refuse(out, 400, "none");
        } else {
            return run(request, attempt, out, socket);
        }
        return true;
    }

    private boolean run(Http.Message request, String attempt, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        if (present.incrementAndGet() > slots + QUEUE) {
            present.decrementAndGet();
            refuse(out, 503, attempt);
            return true;
        }
        free.acquire();
        try {
            boolean prefillOnly = "prefill".equals(request.header("x-serving-stage"));
            if (!prefillOnly) {
                record.ran(attempt, id);
            }
            if (behaviour.respond(this, request, out, socket)) {
                return false;
            }
            if (prefillOnly) {
                Thread.sleep(workMillis);
                json(out, 200, attempt, "{\"Handle\":\"k" + handles.incrementAndGet()
                        + "\",\"Tokens\":1000,\"Version\":1}");
            } else if (stage != null) {
                stream(attempt, out);
            } else {
                Thread.sleep(work());
                Http.write(out, "HTTP/1.1 200 OK", sealed(attempt), "done " + attempt);
            }
            return true;
        } finally {
            free.release();
            present.decrementAndGet();
        }
    }

    private long work() {
        return workMillis / 2 + ThreadLocalRandom.current().nextLong(workMillis + 1);
    }

    private void stream(String attempt, OutputStream out) throws IOException, InterruptedException {
        out.write(streamHead(attempt).getBytes());
        for (int i = 1; i <= EVENTS; i++) {
            Thread.sleep(EVENT_MILLIS);
            String event = "id: " + i + "\ndata: " + attempt + " " + i + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
        }
        out.write("0\r\n\r\n".getBytes());
    }

    static String streamHead(String attempt) {
        return "HTTP/1.1 200 OK\r\n" + sealed(attempt)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    /** Returns the headers of an answer of a server that ran the request. */
    static String sealed(String attempt) {
        return "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + attempt + ".seal\r\n";
    }

    static void refuse(OutputStream out, int status, String attempt) throws IOException {
        Http.write(
                out,
                "HTTP/1.1 " + status + " Refused",
                "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n",
                "");
    }

    private static void json(OutputStream out, int status, String attempt, String body)
            throws IOException {
        Http.write(
                out,
                "HTTP/1.1 " + status + " OK",
                (attempt == null ? "" : "X-Attempt-Id: " + attempt + "\r\n")
                        + "Content-Type: application/json\r\n",
                body);
    }
}
