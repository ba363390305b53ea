import java.io.IOException;
import java.nio.file.Path;

/** Configs come in quick succession while an entry is partitioned from the store. */
final class StormDuringCut {
    /** Ten additions of 350 routes; the object stays below ValueBytes. */
    private static final int ROUTES = 3_500;

    private static final int CHANGES = 25;
    private static final long CHANGE_GAP_MILLIS = 80;
    private static final long CUT_MILLIS = 5_500;
    private static final long TOUCH_MILLIS = 3_000;
    private static final long APPLY_MILLIS = 2_000;
    private static final int PROBES = 100;

    private StormDuringCut() {}

    public static void main(String[] args) {
        Deployment.run(Path.of(args[0]), StormDuringCut::holds);
    }

    private static boolean holds(Deployment deployment) throws IOException, InterruptedException {
        Record record = deployment.record;
        ServerStandIn.Behaviour sound = new ServerStandIn.Behaviour();
        for (int i = 1; i <= 3; i++) {
            deployment.addServer("app-" + i, "app", null, sound);
        }
        String first = Config.main(2, ROUTES, "newest-2");
        record.line("a configuration has " + first.length() + " bytes");
        deployment.store.put("config", "main", first);
        Entry entry = deployment.startEntry("entry-1");
        Client client = new Client(entry.callers, record);
        Thread.sleep(APPLY_MILLIS);
        int before = probe(client, "newest-2", 10);
        if (before > 0) {
            throw new IOException("the first configuration is not in force");
        }
        long cutMillis = record.nowMillis();
        if (Deployment.hasTrouble()) {
            deployment.store.cut();
            record.line("the entry is partitioned from the store");
        }
        String newest = "";
        for (int version = 3; version < 3 + CHANGES; version++) {
            newest = "newest-" + version;
            deployment.store.put("config", "main", Config.main(version, ROUTES, newest));
            record.line("version " + version + " is acknowledged");
            Thread.sleep(CHANGE_GAP_MILLIS);
        }
        long acknowledged = record.nowMillis() - CHANGE_GAP_MILLIS;
        Thread.sleep(Math.max(0, cutMillis + CUT_MILLIS - record.nowMillis()));
        deployment.store.heal();
        record.line("the partition has ended");
        // In touch again, and ConfigurationApplyMs after the acknowledgement.
        Thread.sleep(Math.max(TOUCH_MILLIS, acknowledged + APPLY_MILLIS - record.nowMillis()));
        int broken = probe(client, newest, PROBES);
        String result = broken + " of " + PROBES + " requests to the newest route without its answer";
        record.line(result);
        System.out.println(result);
        return broken == 0;
    }

    /** Sends requests to a route, and returns how many did not get the answer of its service. */
    private static int probe(Client client, String route, int count) throws InterruptedException {
        int broken = 0;
        for (int i = 0; i < count; i++) {
            Record.Call call = client.send("GET", route, "", "", 1_500);
            broken += call.answer.startsWith("200") ? 0 : 1;
            Thread.sleep(100);
        }
        return broken;
    }
}
