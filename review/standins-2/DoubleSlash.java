import java.nio.charset.StandardCharsets;
import java.util.List;

/** Requests whose path begins with two slashes, on a host with a route for all paths. */
public final class DoubleSlash {

    private static final int REQUESTS = 10;

    private DoubleSlash() {}

    public static void main(String[] arguments) {
        CaseMain.run(arguments, (record, directory) -> {
            EntryProcess entry = new EntryProcess("entry-1", directory);
            StoreStub store = new StoreStub();
            for (int i = 1; i <= 3; i++) {
                AppServer server = new AppServer("i-" + i, "app", 10, record);
                store.put("servers", server.id, server.entry("ready"));
            }
            store.put(
                    "config",
                    "main",
                    Configs.config(
                            1,
                            Configs.route(
                                    "r1", "shop.example", "/", "unsafe", "app",
                                    ",\"TimeoutMs\":800,\"Attempts\":1"),
                            Configs.plainService("app")));
            entry.start(store.newPath().address(), List.of());
            entry.awaitReady(30_000);
            Client client = new Client(entry.callers, "shop.example", record);
            String root = CaseMain.TROUBLE ? "//" : "/";
            for (int i = 1; i <= REQUESTS; i++) {
                client.call(
                        "POST",
                        root + "orders/" + i + "/cancel?by=clerk",
                        "{}".getBytes(StandardCharsets.UTF_8),
                        1_500);
            }
            int changed = 0;
            for (Client.Sent sent : client.all()) {
                for (CaseRecord.Run run : record.runs()) {
                    boolean same = sent.what.equals(run.method() + " " + run.target());
                    if (run.attempt().equals(sent.attempt) && !same) {
                        changed++;
                    }
                }
            }
            long served = client.all().stream().filter(Client.Sent::isFromServer).count();
            return record.end(
                    changed == 0,
                    changed + " of " + REQUESTS + " requests ran with another path than the"
                            + " client's; " + served + " got a server's answer");
        });
    }
}
