import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Bodies within the limit come in chunks of a few bytes, beside lookups of another client. */
public final class SmallChunks {

    private static final int UPLOADS = 8;
    private static final int BODY_BYTES = 1_900_000;
    private static final int SMALL_CHUNK_BYTES = 1;
    private static final int USUAL_CHUNK_BYTES = 16_384;
    private static final long UPLOAD_TIMEOUT_MILLIS = 14_000;
    private static final long LOOKUP_TIMEOUT_MILLIS = 800;
    private static final long LATE_MILLIS = 500;
    private static final long LOOKUPS_FOR_MILLIS = 40_000;

    private SmallChunks() {}

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
                                            "r1", "shop.example", "/upload/", "unsafe", "app",
                                            ",\"TimeoutMs\":" + UPLOAD_TIMEOUT_MILLIS + ",\"Attempts\":1")
                                    + ","
                                    + Configs.route(
                                            "r2", "shop.example", "/look/", "safe", "app",
                                            ",\"TimeoutMs\":" + LOOKUP_TIMEOUT_MILLIS + ",\"Attempts\":2"),
                            Configs.plainService("app")));
            entry.start(store.newPath().address(), List.of());
            entry.awaitReady(30_000);
            Client client = new Client(entry.callers, "shop.example", record);
            for (int i = 0; i < 20; i++) {
                client.call("GET", "/look/before-" + i, new byte[0], 1_500);
            }
            int chunkBytes = CaseMain.TROUBLE ? SMALL_CHUNK_BYTES : USUAL_CHUNK_BYTES;
            long begunMillis = record.millis();
            for (int i = 1; i <= UPLOADS; i++) {
                String id = "upload-" + i;
                Http.start(id, () -> upload(entry, record, id, chunkBytes));
            }
            List<Client.Sent> lookups = new ArrayList<>();
            while (record.millis() < begunMillis + LOOKUPS_FOR_MILLIS) {
                long sentMillis = record.millis();
                lookups.add(client.call("GET", "/look/" + lookups.size(), new byte[0], 1_500));
                CaseMain.sleep(sentMillis + 250 - record.millis());
            }
            int readiness = entry.readinessStatus();
            record.line("the process " + (entry.isAlive() ? "runs" : "has ended")
                    + ", readiness " + readiness);
            long due = 0;
            long late = 0;
            for (Client.Sent lookup : lookups) {
                long tookMillis = lookup.endedMillis - lookup.sentMillis;
                boolean answered = lookup.status != 0;
                due += !answered || tookMillis >= LOOKUP_TIMEOUT_MILLIS ? 1 : 0;
                late += !answered || tookMillis >= LOOKUP_TIMEOUT_MILLIS + LATE_MILLIS ? 1 : 0;
            }
            return record.end(
                    late * 2 <= due,
                    "of " + lookups.size() + " lookups, " + due + " were unanswered at TimeoutMs, "
                            + late + " of them half a second later");
        });
    }

    private static void upload(
            EntryProcess entry, CaseRecord record, String id, int chunkBytes) {
        try {
            Http.Connection connection = Http.connect(entry.callers, 60_000);
            record.sent(id, "POST /upload/x, " + BODY_BYTES + " bytes in chunks of " + chunkBytes);
            connection.out.write(
                    ("POST /upload/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                                    + "\r\nX-Deadline-Ms: " + UPLOAD_TIMEOUT_MILLIS
                                    + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            byte[] chunk =
                    (Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
            for (int bytes = 0; bytes + chunkBytes <= BODY_BYTES; bytes += chunkBytes) {
                connection.out.write(chunk);
            }
            connection.out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            connection.out.flush();
            Http.Message answer = Http.read(connection.in, true);
            record.answered(id, answer == null ? "nothing" : answer.startLine + " " + answer.text());
        } catch (IOException e) {
            record.answered(id, "nothing: " + e);
        }
    }
}
