import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A server leaves without a report, its entry is removed, while the store cuts off waiting watches.
 *
 * <p>Broken if requests that callers sent later than DrainTimeoutMs after the removal reach it.
 */
public final class Case11 {

    private static final long DRAIN_TIMEOUT_MILLIS = 2_000;
    private static final long CUT_AFTER_MILLIS = 1_000;
    private static final long SERVES_ON_MILLIS = 5_000;

    private Case11() {}

    public static void main(String[] args) throws Exception {
        Path file = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case11");
        Record record = new Record();
        Store store = new Store(record);
        store.put("config", "main", Callers.configuration());
        // Servers differ in speed; entries prefer the fastest.
        AppServer leaving = new AppServer("i-leaves", record, 40);
        List<AppServer> servers =
                List.of(
                        leaving,
                        new AppServer("i-stays-1", record, 55),
                        new AppServer("i-stays-2", record, 55));
        servers.forEach(server -> store.put("servers", server.id, server.storeEntry("ready")));
        Entry first = new Entry("frontend-1", folder, store.port(), List.of());
        Entry second = new Entry("frontend-2", folder, store.port(), List.of(first.controlPort));
        List<Entry> entries = List.of(first, second);
        for (Entry entry : entries) {
            entry.start();
        }
        Callers callers = new Callers(record, entries, 120);
        callers.start(12);
        Thread.sleep(6_000);
        if (trouble) {
            store.cutWatchesAfter(CUT_AFTER_MILLIS);
            record.add("store", "from now on cuts off watches that wait " + CUT_AFTER_MILLIS + " ms");
        }
        Thread.sleep(4_000);
        store.remove("servers", leaving.id);
        long removedMillis = record.nowMillis();
        record.add("store", "has removed the entry of " + leaving.id);
        Thread.sleep(SERVES_ON_MILLIS);
        record.add(leaving.id, "exits");
        leaving.exit();
        Thread.sleep(2_000);
        callers.stop();

        int late = 0;
        int lost = 0;
        int served = 0;
        for (Map.Entry<String, Long> arrival : leaving.arrivals.entrySet()) {
            String attempt = arrival.getKey();
            long sentMillis = callers.sentMillis.getOrDefault(attempt, 0L);
            if (sentMillis > removedMillis + DRAIN_TIMEOUT_MILLIS) {
                late++;
                Callers.Result result = callers.results.get(attempt);
                lost += result != null && !result.safe() && result.status() != 200 ? 1 : 0;
                record.add(
                        "check",
                        attempt + " was sent " + (sentMillis - removedMillis)
                                + " ms after the removal, and reached " + leaving.id);
            }
        }
        for (Callers.Result result : callers.results.values()) {
            served += result.status() == 200 ? 1 : 0;
        }
        boolean alive = entries.stream().allMatch(Entry::isAlive);
        String summary =
                "requests " + callers.results.size() + ", served " + served
                        + ", reached the server that had left " + late
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
