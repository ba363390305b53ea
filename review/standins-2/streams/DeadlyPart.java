import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of prompts crashes each model server that begins to write an answer on it, with the first
 * token out. Uses the stand-ins of the earlier review.
 */
final class DeadlyPart {
    private static final String FIRST_PART = "a1:200";
    private static final String DEADLY_PART = "dead01:300";
    private static final String SOUND_PART = "b2:300";

    /** Word in the body by which the stand-ins know a request with the deadly part. */
    private static final String DEADLY = "deadly";

    private static final long BACK_MILLIS = 2_000;
    private static final long EXPIRY_MILLIS = 3_600;
    private static final long TOUCH_MILLIS = 3_000;
    private static final int CRASHES_TO_LEARN = 5;
    private static final int MOST_LATE_REQUESTS = 3;
    private static final int REPEATS = 15;
    private static final long REPEAT_MILLIS = 3_000;
    private static final long SOUND_MILLIS = 140;

    /** Whether the crash comes before the first event, for a trial. */
    private static final boolean BEFORE_FIRST_EVENT = Boolean.getBoolean("beforeFirstEvent");

    private final Deployment deployment;
    private final List<Long> crashes = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();
    private final AtomicInteger boots = new AtomicInteger();
    private final AtomicInteger brokenSoundStreams = new AtomicInteger();

    private DeadlyPart(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] args) {
        Deployment.run(Path.of(args[0]), deployment -> new DeadlyPart(deployment).holds());
    }

    private boolean holds() throws IOException, InterruptedException {
        ServerStandIn.Behaviour sound = new ServerStandIn.Behaviour();
        for (int i = 1; i <= 2; i++) {
            deployment.addServer("prefill-" + i, "llm", "prefill", sound);
        }
        for (int i = 1; i <= 4; i++) {
            deployment.addServer("decode-" + i, "llm", "decode", new Mortal());
        }
        Entry entry = deployment.startEntry("entry-1");
        sendSound(entry, 3_000);
        for (int i = 0; i < REPEATS; i++) {
            send(entry, DEADLY_PART, DEADLY);
            sendSound(entry, REPEAT_MILLIS);
        }
        return judge();
    }

    private void sendSound(Entry entry, long millis) throws InterruptedException {
        for (long sent = 0; sent < millis; sent += SOUND_MILLIS) {
            send(entry, SOUND_PART, "sound");
            Thread.sleep(SOUND_MILLIS);
        }
    }

    /** Sends a request whose last part, and so the whole of it, is like no other. */
    private void send(Entry entry, String middlePart, String kind) {
        String own = Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 1);
        Listener.start(
                () -> {
                    Record.Call call =
                            new StreamClient(entry.callers, deployment.record, 0)
                                    .send(
                                            "draft",
                                            14_000,
                                            FIRST_PART + "," + middlePart + "," + own,
                                            kind + " " + own);
                    if (!kind.equals(DEADLY) && call.answer.startsWith("broken")) {
                        brokenSoundStreams.incrementAndGet();
                    }
                },
                kind);
    }

    private synchronized boolean judge() {
        long late = 0;
        if (crashes.size() >= CRASHES_TO_LEARN) {
            long from = crashes.get(CRASHES_TO_LEARN - 1) + TOUCH_MILLIS;
            late = arrivals.stream().filter(arrival -> arrival > from).count();
        }
        String result =
                crashes.size() + " servers crashed, " + late + " requests with the part reached"
                        + " servers later than TouchMs after the fifth crash; " + brokenSoundStreams
                        + " other streams were broken off";
        deployment.record.line(result);
        System.out.println(result);
        return late <= MOST_LATE_REQUESTS;
    }

    /** A decode server that requests with the deadly part crash. */
    private final class Mortal extends ServerStandIn.Behaviour {
        @Override
        boolean respond(ServerStandIn server, Http.Message request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
            if (!request.text().startsWith(DEADLY)) {
                return false;
            }
            synchronized (DeadlyPart.this) {
                arrivals.add(deployment.record.nowMillis());
            }
            if (!Deployment.hasTrouble()) {
                return false;
            }
            if (!BEFORE_FIRST_EVENT) {
                String attempt = request.header("x-attempt-id");
                String event = "id: 1\ndata: " + attempt + " 1\n\n";
                String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
                out.write((ServerStandIn.streamHead(attempt) + chunk).getBytes());
                out.flush();
            }
            Thread.sleep(10);
            synchronized (DeadlyPart.this) {
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
