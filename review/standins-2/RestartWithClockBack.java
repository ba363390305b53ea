import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A server crashes and starts again under its id, and its clock jumps back in between. */
public final class RestartWithClockBack {

    private static final long DRAIN_TIMEOUT_MILLIS = 2_000;

    /** How much longer than DrainTimeoutMs the server serves. */
    private static final long LINGER_MILLIS = 1_500;

    private static final long CLOCK_STEP_MILLIS = 2_400;
    private static final int CLIENTS = 6;

    private RestartWithClockBack() {}

    public static void main(String[] arguments) {
        CaseMain.run(arguments, (record, directory) -> {
            EntryProcess entry = new EntryProcess("entry-1", directory);
            StoreStub store = new StoreStub();
            // The first one is the fastest, so that it has work when it leaves.
            long aheadMillis = CaseMain.TROUBLE ? CLOCK_STEP_MILLIS : 0;
            AppServer first = new AppServer("i-1", "app", 60, record, aheadMillis);
            store.put("servers", first.id, first.entry("ready"));
            record.line(first.id + " has started; its clock is " + aheadMillis + " ms ahead");
            for (int i = 2; i <= 3; i++) {
                AppServer server = new AppServer("i-" + i, "app", 90, record);
                store.put("servers", server.id, server.entry("ready"));
            }
            store.put(
                    "config",
                    "main",
                    Configs.config(
                            1,
                            Configs.route(
                                    "r1", "shop.example", "/book/", "unsafe", "app",
                                    ",\"TimeoutMs\":800,\"Attempts\":1"),
                            Configs.plainService("app")));
            entry.start(store.newPath().address(), List.of());
            entry.awaitReady(30_000);

            first.stop();
            record.line(first.id + " has crashed");
            CaseMain.sleep(500);
            AppServer again = first.startAgain();
            store.put("servers", again.id, again.entry("ready"));
            record.line(again.id + " has started again; its clock is right");
            CaseMain.sleep(2_000);

            List<Client> clients = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            long endMillis = record.millis() + 8_000;
            for (int i = 0; i < CLIENTS; i++) {
                Client client = new Client(entry.callers, "shop.example", record);
                clients.add(client);
                threads.add(Http.start("client", () -> {
                    while (record.millis() < endMillis) {
                        client.call(
                                "POST",
                                "/book/seat",
                                "{}".getBytes(StandardCharsets.UTF_8),
                                1_500);
                        CaseMain.sleep(20);
                    }
                }));
            }
            CaseMain.sleep(2_000);
            store.put("servers", again.id, again.entry("draining"));
            long drainingMillis = record.millis();
            record.line("the store has acknowledged that " + again.id + " is draining");
            CaseMain.sleep(DRAIN_TIMEOUT_MILLIS + LINGER_MILLIS);
            again.stop();
            record.line(again.id + " has left");
            for (Thread thread : threads) {
                thread.join();
            }
            int late = 0;
            int lost = 0;
            for (Client client : clients) {
                for (Client.Sent sent : client.all()) {
                    boolean isLate =
                            record.runs().stream()
                                    .filter(run -> run.server().equals(again.id))
                                    .filter(run -> run.millis() > drainingMillis + DRAIN_TIMEOUT_MILLIS)
                                    .anyMatch(run -> run.attempt().equals(sent.attempt));
                    late += isLate ? 1 : 0;
                    lost += isLate && !sent.isFromServer() ? 1 : 0;
                }
            }
            return record.end(
                    late == 0,
                    late + " requests reached the draining server more than " + DRAIN_TIMEOUT_MILLIS
                            + " ms after the store's ack; " + lost
                            + " of them ran and their clients got no server's answer");
        });
    }
}
