import com.google.gson.JsonElement;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A server that leaves says so in its answers, while the machine is cut off from the store. */
public final class LeavingServer {

    private static final long DRAIN_TIMEOUT_MILLIS = 2_000;

    /** How much longer than DrainTimeoutMs the server serves. */
    private static final long LINGER_MILLIS = 1_500;

    private static final int CLIENTS = 6;

    private LeavingServer() {}

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
            store.put("config", "main", config());
            StoreStub.Path path = store.newPath();
            entry.start(path.address(), List.of());
            entry.awaitReady(30_000);
            List<Client> clients = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            long endMillis = record.millis() + 10_000;
            for (int i = 0; i < CLIENTS; i++) {
                Client client = new Client(entry.callers, "shop.example", record);
                clients.add(client);
                threads.add(Http.start("client", () -> {
                    while (record.millis() < endMillis) {
                        client.call("POST", "/book/seat", body(), 1_500);
                        CaseMain.sleep(20);
                    }
                }));
            }

            AppServer leaver = servers.get(0);
            CaseMain.sleep(2_500);
            path.silent = CaseMain.TROUBLE;
            record.line(CaseMain.TROUBLE ? "the machine is cut off from the store" : "no cut");
            CaseMain.sleep(500);
            store.put("servers", leaver.id, leaver.entry("draining"));
            leaver.leaving = true;
            record.line("the store has acknowledged that " + leaver.id
                    + " is draining; its answers say so too");
            CaseMain.sleep(DRAIN_TIMEOUT_MILLIS + LINGER_MILLIS);
            store.remove("servers", leaver.id);
            leaver.stop();
            record.line(leaver.id + " has left");
            CaseMain.sleep(500);
            path.silent = false;
            record.line("the cut is healed");
            for (Thread thread : threads) {
                thread.join();
            }
            return judge(record, leaver, clients);
        });
    }

    private static byte[] body() {
        return "{}".getBytes(StandardCharsets.UTF_8);
    }

    private static JsonElement config() {
        return Configs.config(
                1,
                Configs.route(
                        "r1", "shop.example", "/book/", "unsafe", "app",
                        ",\"TimeoutMs\":800,\"Attempts\":1"),
                Configs.plainService("app"));
    }

    private static int judge(CaseRecord record, AppServer leaver, List<Client> clients) {
        List<Client.Sent> all = new ArrayList<>();
        clients.forEach(client -> all.addAll(client.all()));
        long toldMillis =
                all.stream()
                        .filter(sent -> sent.answer != null)
                        .filter(sent -> sent.answer.header("server-leaving") != null)
                        .mapToLong(sent -> sent.endedMillis)
                        .min()
                        .orElse(Long.MAX_VALUE / 2);
        int late = 0;
        int lost = 0;
        for (Client.Sent sent : all) {
            boolean ran =
                    record.runs().stream()
                            .filter(run -> run.server().equals(leaver.id))
                            .anyMatch(run -> run.attempt().equals(sent.attempt));
            if (ran && sent.sentMillis > toldMillis + DRAIN_TIMEOUT_MILLIS) {
                late++;
                lost += sent.isFromServer() ? 0 : 1;
                record.line("late     " + sent.attempt + " sent "
                        + (sent.sentMillis - toldMillis) + " ms after the first such answer; "
                        + (sent.isFromServer() ? "answered" : "run, and its answer lost"));
            }
        }
        return record.end(
                late == 0,
                late + " requests that were sent more than " + DRAIN_TIMEOUT_MILLIS
                        + " ms after the machine had passed on Server-Leaving reached that server; "
                        + lost + " of them ran and their clients got no server's answer");
    }
}
