import java.io.IOException;
import java.nio.file.Path;

/** One of four decode servers answers with bodies without end for 40 seconds. */
final class EndlessStreams {
    /** The line of a client, 96 Mbit/s. */
    private static final long CLIENT_BYTES_PER_MILLI = 12_000;

    private EndlessStreams() {}

    public static void main(String[] args) {
        Deployment.run(Path.of(args[0]), EndlessStreams::holds);
    }

    private static boolean holds(Deployment deployment) throws IOException, InterruptedException {
        Record record = deployment.record;
        EndlessBody endless = new EndlessBody(record, 0);
        ServerStandIn.Behaviour sound = new ServerStandIn.Behaviour();
        for (int i = 1; i <= 3; i++) {
            deployment.addServer("app-" + i, "app", null, sound);
        }
        for (int i = 1; i <= 2; i++) {
            deployment.addServer("prefill-" + i, "llm", "prefill", sound);
        }
        for (int i = 1; i <= 4; i++) {
            deployment.addServer("decode-" + i, "llm", "decode", i == 1 ? endless : sound);
        }
        Entry entry = deployment.startEntry("entry-1");
        // Half of the traffic on the sheet of the site.
        Traffic traffic = new Traffic(record, entry.callers, CLIENT_BYTES_PER_MILLI);
        traffic.send(5_000, 17.2, 6.9, 3.6);
        if (Deployment.hasTrouble()) {
            endless.setActive(true);
        }
        traffic.send(40_000, 17.2, 6.9, 3.6);
        if (Deployment.hasTrouble()) {
            endless.setActive(false);
        }
        traffic.send(15_000, 17.2, 6.9, 3.6);
        Thread.sleep(2_000);
        record.line("entry alive: " + entry.isAlive() + ", ready: " + entry.isReady());
        return TimeoutRule.holds(record);
    }
}
