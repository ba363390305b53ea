import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** The time of day on a server's machine jumps back; the server starts again under its id. */
final class ClockSetBack {
    /** The jump of the site file. */
    private static final long STEP_MILLIS = 2_400;

    private static final long DOWN_MILLIS = 1_000;
    private static final long DRAIN_TIMEOUT_MILLIS = 2_000;
    private static final String ID = "app-1";

    private final Deployment deployment;
    private final Set<String> late = ConcurrentHashMap.newKeySet();
    private final AtomicLong boundMillis = new AtomicLong(Long.MAX_VALUE);

    private ClockSetBack(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] args) {
        Deployment.run(Path.of(args[0]), deployment -> new ClockSetBack(deployment).holds());
    }

    private boolean holds() throws IOException, InterruptedException {
        Record record = deployment.record;
        Entry entry = deployment.startEntry("entry-1");
        Traffic traffic = new Traffic(record, entry.callers, 0);
        ServerStandIn.Behaviour observed =
                new ServerStandIn.Behaviour() {
                    @Override
                    boolean respond(
                            ServerStandIn server,
                            Http.Message request,
                            OutputStream out,
                            Socket socket) {
                        if (record.nowMillis() > boundMillis.get()) {
                            late.add(request.header("x-attempt-id"));
                        }
                        return false;
                    }
                };
        ServerStandIn server = deployment.newServer(ID, "app", null, observed, 0);
        deployment.store.put("servers", ID, server.specification("a", "ready"));
        record.line(ID + " has started, born " + server.born());
        traffic.send(500, 17.2, 6.9, 0);
        server.crash();
        record.line(ID + " crashes");
        traffic.send(DOWN_MILLIS, 17.2, 6.9, 0);
        ServerStandIn next = deployment.newServer(ID, "app", null, observed, server.port());
        if (Deployment.hasTrouble()) {
            next.setBorn(next.born() - STEP_MILLIS);
        }
        deployment.store.put("servers", ID, next.specification("a", "ready"));
        record.line(ID + " has started again, born " + next.born());
        traffic.send(8_000, 17.2, 6.9, 0);
        deployment.store.put("servers", ID, next.specification("a", "draining"));
        boundMillis.set(record.nowMillis() + DRAIN_TIMEOUT_MILLIS);
        record.line(ID + " is draining, acknowledged");
        traffic.send(10_000, 17.2, 6.9, 0);
        Thread.sleep(2_000);
        String result =
                late.size() + " requests reached the draining server later than DrainTimeoutMs";
        record.line(result);
        System.out.println(result);
        return late.isEmpty();
    }
}
