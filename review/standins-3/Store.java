import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: objects by kind and name, lists, conditional writes and watches. */
final class Store {

    private static final Pattern NAME = Pattern.compile("\"Name\":\"([^\"]*)\"");
    private static final Pattern REVISION =
            Pattern.compile("\"Metadata\":\\{[^}]*\"Revision\":(\\d+)");

    private record Stored(long revision, String specification) {}

    private record Event(long revision, String kind, String json) {}

    private final Map<String, TreeMap<String, Stored>> objects = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Wire.Listener listener;
    private final Record record;
    private long revision = 1;
    private long cutWatchesAfterMillis = Long.MAX_VALUE;

    Store(Record record) throws IOException {
        this.record = record;
        listener = new Wire.Listener(0, this::serve);
    }

    int port() {
        return listener.port();
    }

    /** Cuts off each watch that has waited for so long without an event. */
    synchronized void cutWatchesAfter(long millis) {
        cutWatchesAfterMillis = millis;
        notifyAll();
    }

    synchronized void put(String kind, String name, String specification) {
        store(kind, name, specification);
    }

    synchronized void remove(String kind, String name) {
        objects.get(kind).remove(name);
        revision++;
        history.add(
                new Event(
                        revision,
                        kind,
                        "{\"Object\":" + json(name, revision, "{}") + ",\"Tombstone\":true}"));
        notifyAll();
    }

    private long store(String kind, String name, String specification) {
        revision++;
        objects.computeIfAbsent(kind, key -> new TreeMap<>())
                .put(name, new Stored(revision, specification));
        String object = json(name, revision, specification);
        history.add(
                new Event(revision, kind, "{\"Object\":" + object + ",\"Tombstone\":false}"));
        notifyAll();
        return revision;
    }

    private static String json(String name, long revision, String specification) {
        return "{\"Metadata\":{\"Name\":\"" + name + "\",\"Revision\":" + revision
                + "},\"Specification\":" + specification + ",\"Status\":null}";
    }

    private void serve(Wire.Connection connection) throws Exception {
        for (Wire.Message call = connection.read(); call != null; call = connection.read()) {
            String[] reply = handle(call);
            if (reply == null) {
                // A watch that is cut off: its channel is closed without an answer.
                return;
            }
            connection.respond(
                    Integer.parseInt(reply[0]), "Content-Type: application/json\r\n", reply[1]);
        }
    }

    private synchronized String[] handle(Wire.Message call) throws InterruptedException {
        String[] target = call.target().split("\\?", 2);
        String[] path = target[0].split("/");
        String kind = path[2];
        String name = path.length > 3 ? path[3] : "";
        Map<String, Long> query = new HashMap<>();
        for (String part : (target.length > 1 ? target[1] : "").split("&")) {
            if (part.matches("(Watch|WaitMs)=\\d+")) {
                query.put(part.split("=")[0], Long.parseLong(part.split("=")[1]));
            }
        }
        TreeMap<String, Stored> named = objects.getOrDefault(kind, new TreeMap<>());
        if (call.method().equals("GET") && query.containsKey("Watch")) {
            return watch(kind, query.get("Watch"), query.getOrDefault("WaitMs", 0L));
        }
        if (call.method().equals("GET") && name.isEmpty()) {
            List<String> items = new ArrayList<>();
            named.forEach((key, o) -> items.add(json(key, o.revision, o.specification)));
            return reply(
                    200,
                    "{\"items\":[" + String.join(",", items)
                            + "],\"Truncated\":false,\"CurrentRev\":" + revision + "}");
        }
        if (call.method().equals("GET")) {
            Stored found = named.get(name);
            return found == null
                    ? reply(404, "{}")
                    : reply(200, json(name, found.revision, found.specification));
        }
        return write(call, kind, named);
    }

    private String[] write(Wire.Message call, String kind, TreeMap<String, Stored> named) {
        String text = call.text();
        Matcher nameMatcher = NAME.matcher(text);
        nameMatcher.find();
        String name = nameMatcher.group(1);
        Stored found = named.get(name);
        Matcher expected = REVISION.matcher(text);
        if (call.method().equals("POST") && found != null) {
            return reply(409, json(name, found.revision, found.specification));
        }
        if (call.method().equals("PUT") && found == null) {
            return reply(404, "{}");
        }
        if (expected.find() && found != null
                && Long.parseLong(expected.group(1)) != found.revision) {
            return reply(409, json(name, found.revision, found.specification));
        }
        int start = text.indexOf("\"Specification\":") + "\"Specification\":".length();
        String specification = text.substring(start, text.lastIndexOf(",\"Status\""));
        return reply(200, json(name, store(kind, name, specification), specification));
    }

    private String[] watch(String kind, long since, long waitMillis) throws InterruptedException {
        long startMillis = System.nanoTime() / 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision > since && event.kind.equals(kind)) {
                    events.add(event.json);
                }
            }
            long waitedMillis = System.nanoTime() / 1_000_000 - startMillis;
            if (!events.isEmpty() || waitedMillis >= waitMillis) {
                return reply(
                        200,
                        "{\"events\":[" + String.join(",", events)
                                + "],\"CurrentRev\":" + revision + "}");
            }
            if (waitedMillis >= cutWatchesAfterMillis) {
                record.add("store", "cuts off a watch of " + kind);
                return null;
            }
            long next = Math.min(waitMillis, cutWatchesAfterMillis) - waitedMillis;
            wait(Math.max(1, next));
        }
    }

    private static String[] reply(int status, String body) {
        return new String[] {Integer.toString(status), body};
    }
}
