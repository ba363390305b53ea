import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A server that has just started crashes and starts again under its id, while the time of day on its
 * machine is set back; later it reports that it is draining.
 *
 * <p>Broken if requests that callers sent later than DrainTimeoutMs after the report reach it.
 */
public final class Case12 {

    private static final long DRAIN_TIMEOUT_MILLIS = 2_000;
    private static final long CLOCK_STEP_MILLIS = 2_400;
    private static final long UP_MILLIS = 300;
    private static final long DOWN_MILLIS = 2_000;
    private static final long SERVES_ON_MILLIS = 5_000;
    private static final String LEAVING = "i-leaves";

    private Case12() {}

    public static void main(String[] args) throws Exception {
        Path file = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case12");
        Record record = new Record();
        Store store = new Store(record);
        store.put("config", "main", Callers.configuration());
        List<AppServer> servers = new ArrayList<>();
        for (int i = 1; i <= 1; i++) {
            AppServer server = new AppServer("i-stays-" + i, record, 55);
            servers.add(server);
            store.put("servers", server.id, server.storeEntry("ready"));
        }
        Entry first = new Entry("frontend-1", folder, store.port(), List.of());
        Entry second = new Entry("frontend-2", folder, store.port(), List.of(first.controlPort));
        List<Entry> entries = List.of(first, second);
        for (Entry entry : entries) {
            entry.start();
        }
        Callers callers = new Callers(record, entries, 20);
        callers.start(18);
        Thread.sleep(5_000);

        // Servers differ in speed; entries prefer the fastest.
        AppServer started = new AppServer(LEAVING, record, 40);
        store.put("servers", LEAVING, started.storeEntry("ready"));
        record.add(LEAVING, "starts and says " + started.storeEntry("ready"));
        Thread.sleep(UP_MILLIS);
        started.exit();
        record.add(LEAVING, "crashes");
        if (trouble) {
            record.add(LEAVING, "the time of day on its machine is set back by " + CLOCK_STEP_MILLIS);
        }
        Thread.sleep(DOWN_MILLIS);
        AppServer leaving = new AppServer(LEAVING, record, 40, started.port());
        if (trouble) {
            leaving.setBorn(System.currentTimeMillis() - CLOCK_STEP_MILLIS);
        }
        store.put("servers", LEAVING, leaving.storeEntry("ready"));
        record.add(LEAVING, "is back and says " + leaving.storeEntry("ready"));
        Thread.sleep(8_000);
        store.put("servers", LEAVING, leaving.storeEntry("draining"));
        long reportedMillis = record.nowMillis();
        record.add("store", "has accepted " + leaving.storeEntry("draining"));
        Thread.sleep(SERVES_ON_MILLIS);
        record.add(LEAVING, "exits");
        leaving.exit();
        store.remove("servers", LEAVING);
        Thread.sleep(2_000);
        callers.stop();

        int late = 0;
        int lost = 0;
        int served = 0;
        for (Map.Entry<String, Long> arrival : leaving.arrivals.entrySet()) {
            String attempt = arrival.getKey();
            long sentMillis = callers.sentMillis.getOrDefault(attempt, 0L);
            if (sentMillis > reportedMillis + DRAIN_TIMEOUT_MILLIS) {
                late++;
                Callers.Result result = callers.results.get(attempt);
                lost += result != null && !result.safe() && result.status() != 200 ? 1 : 0;
                record.add(
                        "check",
                        attempt + " was sent " + (sentMillis - reportedMillis)
                                + " ms after the report, and reached " + LEAVING);
            }
        }
        for (Callers.Result result : callers.results.values()) {
            served += result.status() == 200 ? 1 : 0;
        }
        boolean alive = entries.stream().allMatch(Entry::isAlive);
        String summary =
                "requests " + callers.results.size() + ", served " + served
                        + ", run by the restarted server " + leaving.arrivals.size()
                        + ", reached it late " + late
                        + ", of these unsafe ones that it ran and did not answer " + lost;
        record.add("check", summary);
        record.write(file);
        for (Entry entry : entries) {
            entry.stop();
        }
        System.out.println(summary);
        if (!alive || served < callers.results.size() / 2) {
            System.exit(2);
        }
        System.exit(late > 0 ? 1 : 0);
    }
}
