import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A request crashes each model server that begins to run it, with the first token out. */
final class DeadlyStream {
    private static final String DEADLY = "prompt of the deadly request";
    private static final String DEADLY_PART = "dead01";
    private static final long BACK_MILLIS = 2_000;
    private static final long EXPIRY_MILLIS = 3_600;
    private static final long TOUCH_MILLIS = 3_000;
    private static final int MOST_RETRIES = 3;
    private static final int REPEATS = 15;
    private static final long REPEAT_MILLIS = 3_000;

    private final Deployment deployment;
    private final List<Long> crashes = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();
    private final AtomicInteger boots = new AtomicInteger();

    private DeadlyStream(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] args) {
        Deployment.run(Path.of(args[0]), deployment -> new DeadlyStream(deployment).holds());
    }

    private boolean holds() throws IOException, InterruptedException {
        Record record = deployment.record;
        ServerStandIn.Behaviour sound = new ServerStandIn.Behaviour();
        for (int i = 1; i <= 2; i++) {
            deployment.addServer("prefill-" + i, "llm", "prefill", sound);
        }
        for (int i = 1; i <= 4; i++) {
            deployment.addServer("decode-" + i, "llm", "decode", new Mortal());
        }
        Entry entry = deployment.startEntry("entry-1");
        Traffic traffic = new Traffic(record, entry.callers, 0);
        traffic.send(3_000, 0, 0, 3.6);
        for (int i = 0; i < REPEATS; i++) {
            Listener.start(
                    () ->
                            new StreamClient(entry.callers, record, 0)
                                    .send("draft", 14_000, DEADLY_PART, DEADLY),
                    "deadly");
            traffic.send(REPEAT_MILLIS, 0, 0, 3.6);
        }
        return judge(record);
    }

    private synchronized boolean judge(Record record) {
        long retries = 0;
        if (crashes.size() >= MOST_RETRIES) {
            long from = crashes.get(MOST_RETRIES - 1) + TOUCH_MILLIS;
            retries = arrivals.stream().filter(arrival -> arrival > from).count();
        }
        String result =
                crashes.size() + " servers crashed, " + retries
                        + " runs reached servers later than TouchMs after the third crash";
        record.line(result);
        System.out.println(result);
        return retries <= MOST_RETRIES;
    }

    /** A decode server that the deadly request crashes. */
    private final class Mortal extends ServerStandIn.Behaviour {
        @Override
        boolean respond(ServerStandIn server, Http.Message request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
            if (!request.text().equals(DEADLY)) {
                return false;
            }
            synchronized (DeadlyStream.this) {
                arrivals.add(deployment.record.nowMillis());
            }
            if (!Deployment.hasTrouble()) {
                return false;
            }
            String attempt = request.header("x-attempt-id");
            String event = "id: 1\ndata: " + attempt + " 1\n\n";
            String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
            out.write((ServerStandIn.streamHead(attempt) + chunk).getBytes());
            out.flush();
            Thread.sleep(10);
            synchronized (DeadlyStream.this) {
                crashes.add(deployment.record.nowMillis());
            }
            deployment.record.line(server.id + " crashes");
            server.crash();
            Listener.start(() -> startAgain(server), "start");
            return true;
        }
    }

    /** Starts a server again at its address with a new id; its old entry expires. */
    private void startAgain(ServerStandIn server) {
        try {
            Thread.sleep(BACK_MILLIS);
            String id = server.id.split("\\.")[0] + "." + boots.incrementAndGet();
            ServerStandIn next =
                    deployment.newServer(id, "llm", "decode", new Mortal(), server.port());
            deployment.store.put("servers", id, next.specification("a", "ready"));
            deployment.record.line(id + " has started");
            Thread.sleep(EXPIRY_MILLIS - BACK_MILLIS);
            deployment.store.remove("servers", server.id);
        } catch (IOException | InterruptedException e) {
            deployment.record.line(server.id + " could not start again: " + e);
        }
    }
}
