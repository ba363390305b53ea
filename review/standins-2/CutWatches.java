import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The store cuts off watches that are waiting, and a server's entry is removed. */
public final class CutWatches {

    private static final long DRAIN_TIMEOUT_MILLIS = 2_000;

    /** How much longer than DrainTimeoutMs the server serves. */
    private static final long LINGER_MILLIS = 2_500;

    /** The time after which a watch that is waiting is cut off. */
    private static final long CUT_MILLIS = 1_500;

    private static final int CLIENTS = 6;

    private CutWatches() {}

    public static void main(String[] arguments) {
        CaseMain.run(arguments, (record, directory) -> {
            EntryProcess entry = new EntryProcess("entry-1", directory);
            StoreStub store = new StoreStub();
            List<AppServer> servers = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                // The first one is the fastest, so that it has work when it leaves.
                AppServer server = new AppServer("i-" + i, "app", i == 1 ? 60 : 90, record);
                servers.add(server);
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
            StoreStub.Path path = store.newPath();
            path.cutWatchesAfterMillis = CaseMain.TROUBLE ? CUT_MILLIS : 0;
            entry.start(path.address(), List.of());
            entry.awaitReady(30_000);
            List<Client> clients = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            long endMillis = record.millis() + 13_000;
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

            AppServer leaver = servers.get(0);
            CaseMain.sleep(5_000);
            store.remove("servers", leaver.id);
            long goneMillis = record.millis();
            record.line("the store has acknowledged that " + leaver.id + " is gone");
            CaseMain.sleep(DRAIN_TIMEOUT_MILLIS + LINGER_MILLIS);
            leaver.stop();
            record.line(leaver.id + " has left");
            for (Thread thread : threads) {
                thread.join();
            }
            int late = 0;
            int lost = 0;
            for (Client client : clients) {
                for (Client.Sent sent : client.all()) {
                    boolean isLate =
                            record.runs().stream()
                                    .filter(run -> run.server().equals(leaver.id))
                                    .filter(run -> run.millis() > goneMillis + DRAIN_TIMEOUT_MILLIS)
                                    .anyMatch(run -> run.attempt().equals(sent.attempt));
                    late += isLate ? 1 : 0;
                    lost += isLate && !sent.isFromServer() ? 1 : 0;
                }
            }
            return record.end(
                    late == 0,
                    late + " requests reached the removed server more than " + DRAIN_TIMEOUT_MILLIS
                            + " ms after the store's ack; " + lost
                            + " of them ran and their clients got no server's answer");
        });
    }
}
