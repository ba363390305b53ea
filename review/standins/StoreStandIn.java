import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store, as far as PROTOCOL.md describes the calls that the entries make. */
final class StoreStandIn {
    private static final Pattern NAME = Pattern.compile("\"Name\":\"([^\"]*)\"");
    private static final Pattern REVISION = Pattern.compile("\"Revision\":(\\d+)");
    private static final Pattern QUERY = Pattern.compile("[?&]%s=([^&]*)");
    private static final long POLL_MILLIS = 5;

    /** HistoryS of the settings. */
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private final Map<String, Map<String, Entry>> kinds = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Listener listener;
    private long revision = 100;
    private volatile boolean cut;
    private long cuts;

    private record Entry(String name, long revision, String specification) {
        String json() {
            return "{\"Metadata\":{\"Name\":\"" + name + "\",\"Revision\":" + revision
                    + ",\"Created\":0,\"Finalizers\":[],\"Deleting\":false},\"Specification\":"
                    + specification + ",\"Status\":null}";
        }
    }

    private record Event(String kind, Entry entry, boolean tombstone, long nanos) {}

    StoreStandIn() throws IOException {
        listener = new Listener(this::handle);
    }

    String address() {
        return listener.address();
    }

    synchronized void put(String kind, String name, String specification) {
        Entry entry = new Entry(name, ++revision, specification);
        kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, entry);
        events.add(new Event(kind, entry, false, System.nanoTime()));
    }

    synchronized void remove(String kind, String name) {
        Entry entry = kinds.get(kind).remove(name);
        Entry last = new Entry(name, ++revision, entry.specification());
        events.add(new Event(kind, last, true, System.nanoTime()));
    }

    /** Cuts the path to the store: nothing sent on it from now on arrives. */
    synchronized void cut() {
        cut = true;
        cuts++;
    }

    void heal() {
        cut = false;
    }

    private boolean handle(Http.Message call, InputStream in, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        long cutsBefore = cuts;
        if (cut || !respondTo(call, out, cutsBefore)) {
            // The bytes of a channel that the cut has met are lost.
            Thread.sleep(Long.MAX_VALUE);
        }
        return true;
    }

    private boolean respondTo(Http.Message call, OutputStream out, long cutsBefore)
            throws IOException, InterruptedException {
        String target = call.target();
        String path = target.split("\\?")[0];
        String[] parts = path.split("/");
        String kind = parts[2];
        String watch = query(target, "Watch");
        if (call.method().equals("GET") && watch != null) {
            long wait = Long.parseLong(query(target, "WaitMs"));
            String changes = watch(kind, Long.parseLong(watch), wait);
            if (cuts != cutsBefore) {
                return false;
            }
            respond(out, changes.isEmpty() ? 410 : 200, changes.isEmpty() ? "{}" : changes);
        } else if (call.method().equals("GET") && parts.length == 3) {
            respond(out, 200, list(kind));
        } else {
            synchronized (this) {
                Map<String, Entry> entries = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
                if (call.method().equals("GET")) {
                    Entry entry = entries.get(parts[3]);
                    respond(out, entry == null ? 404 : 200, entry == null ? "{}" : entry.json());
                } else {
                    write(call, kind, entries, parts.length > 3 ? parts[3] : null, out);
                }
            }
        }
        return true;
    }

    private void write(
            Http.Message call, String kind, Map<String, Entry> entries, String name, OutputStream out)
            throws IOException {
        String body = call.text();
        int start = body.indexOf("\"Specification\":");
        String metadata = body.substring(0, start);
        int end = body.lastIndexOf(",\"Status\"");
        String specification = body.substring(start + "\"Specification\":".length(), end);
        if (name == null) {
            Matcher matcher = NAME.matcher(metadata);
            matcher.find();
            name = matcher.group(1);
        }
        Matcher expected = REVISION.matcher(metadata);
        Entry existing = entries.get(name);
        boolean create = call.method().equals("POST");
        boolean conflict =
                create
                        ? existing != null
                        : existing == null
                                || expected.find()
                                        && Long.parseLong(expected.group(1)) != existing.revision();
        if (conflict) {
            respond(out, 409, existing == null ? "{}" : existing.json());
            return;
        }
        put(kind, name, specification);
        respond(out, create ? 201 : 200, entries.get(name).json());
    }

    private synchronized String list(String kind) {
        StringBuilder items = new StringBuilder();
        kinds.getOrDefault(kind, Map.of())
                .values()
                .forEach(entry -> items.append(items.isEmpty() ? "" : ",").append(entry.json()));
        return "{\"items\":[" + items + "],\"Truncated\":false,\"CurrentRev\":" + revision + "}";
    }

    /** Returns the changes since a revision, empty if their history is gone. */
    private String watch(String kind, long since, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            synchronized (this) {
                long oldest = System.nanoTime() - HISTORY_NANOS;
                if (events.stream()
                        .anyMatch(e -> e.entry().revision() > since && e.nanos() < oldest)) {
                    return "";
                }
                StringBuilder changed = new StringBuilder();
                for (Event event : events) {
                    if (event.kind().equals(kind) && event.entry().revision() > since) {
                        changed.append(changed.isEmpty() ? "" : ",")
                                .append("{\"Object\":")
                                .append(event.entry().json())
                                .append(",\"Tombstone\":")
                                .append(event.tombstone())
                                .append('}');
                    }
                }
                if (!changed.isEmpty() || System.nanoTime() >= end) {
                    return "{\"events\":[" + changed + "],\"CurrentRev\":" + revision + "}";
                }
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private static String query(String target, String name) {
        Matcher matcher = Pattern.compile(String.format(QUERY.pattern(), name)).matcher(target);
        return matcher.find() ? matcher.group(1) : null;
    }

    private static void respond(OutputStream out, int status, String body) throws IOException {
        Http.write(
                out, "HTTP/1.1 " + status + " OK", "Content-Type: application/json\r\n", body);
    }
}
