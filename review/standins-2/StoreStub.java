import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: objects by kind and name, one revision counter, and watches. */
final class StoreStub {

    /** A path to the store; each machine has its own, so that single machines can be cut off. */
    final class Path {
        private final Http.Server server;

        /** Whether calls on this path get no answer, as behind a partition. */
        volatile boolean silent;

        /** Time after which a watch that is waiting is cut off; 0 for never. */
        volatile long cutWatchesAfterMillis;

        Path() throws IOException {
            server = new Http.Server((request, connection) -> handle(this, request, connection));
        }

        String address() {
            return server.address();
        }
    }

    private record Event(long revision, String kind, JsonObject object, boolean removed) {}

    private final Map<String, TreeMap<String, JsonObject>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;

    Path newPath() throws IOException {
        return new Path();
    }

    /** Creates or replaces an object. Returns when the store has acknowledged it. */
    synchronized void put(String kind, String name, JsonElement specification) {
        revision++;
        JsonObject metadata = new JsonObject();
        metadata.addProperty("Name", name);
        metadata.addProperty("Revision", revision);
        JsonObject object = new JsonObject();
        object.add("Metadata", metadata);
        object.add("Specification", specification);
        kinds.computeIfAbsent(kind, unused -> new TreeMap<>()).put(name, object);
        history.add(new Event(revision, kind, object, false));
        notifyAll();
    }

    /** Removes an object. Returns when the store has acknowledged it. */
    synchronized void remove(String kind, String name) {
        JsonObject object = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (object != null) {
            revision++;
            history.add(new Event(revision, kind, object, true));
            notifyAll();
        }
    }

    private void handle(Path path, Http.Message request, Http.Connection connection)
            throws IOException {
        if (path.silent) {
            awaitEnd(path, connection);
            return;
        }
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = parseQuery(target.length > 1 ? target[1] : "");
        String[] parts = target[0].split("/");
        String kind = parts[2];
        String name = parts.length > 3 ? decode(parts[3]) : "";
        int status = 200;
        JsonObject body;
        if (query.containsKey("Watch")) {
            body = watch(path, kind, query);
            if (path.silent) {
                awaitEnd(path, connection);
                return;
            }
            if (body == null) {
                connection.close();
                return;
            }
        } else if (request.method().equals("GET") && name.isEmpty()) {
            body = list(kind, query.getOrDefault("after", ""));
        } else if (request.method().equals("GET")) {
            body = get(kind, name);
            status = body == null ? 404 : 200;
        } else {
            JsonObject sent = JsonParser.parseString(request.text()).getAsJsonObject();
            body = write(request.method(), kind, sent);
            status = body == null ? 409 : 200;
        }
        connection.respond(
                status,
                Map.of("Content-Type", "application/json"),
                (body == null ? new JsonObject() : body)
                        .toString()
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** Keeps a call without an answer until its sender gives it up or the path is back. */
    private static void awaitEnd(Path path, Http.Connection connection) throws IOException {
        connection.socket.setSoTimeout(100);
        while (path.silent) {
            try {
                if (connection.in.read() < 0) {
                    break;
                }
            } catch (java.net.SocketTimeoutException e) {
                // Neither closed nor sent anything.
            }
        }
        // A connection on which an answer is lost returns nothing further.
        connection.close();
        throw new IOException("the answer is lost");
    }

    private synchronized JsonObject list(String kind, String after) {
        JsonArray items = new JsonArray();
        kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values().forEach(items::add);
        JsonObject body = new JsonObject();
        body.add("items", items);
        body.addProperty("Truncated", false);
        body.addProperty("CurrentRev", revision);
        return body;
    }

    private synchronized JsonObject get(String kind, String name) {
        return kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    }

    private synchronized JsonObject write(String method, String kind, JsonObject sent) {
        JsonObject metadata = sent.getAsJsonObject("Metadata");
        String name = metadata.get("Name").getAsString();
        JsonObject existing = get(kind, name);
        boolean creates = method.equals("POST");
        if (creates == (existing != null)) {
            return null;
        }
        JsonElement expected = metadata.get("Revision");
        if (existing != null
                && expected != null
                && existing.getAsJsonObject("Metadata").get("Revision").getAsLong()
                        != expected.getAsLong()) {
            return null;
        }
        put(kind, name, sent.get("Specification"));
        return get(kind, name);
    }

    /** Waits for events; returns null if the watch is cut off. */
    private synchronized JsonObject watch(Path path, String kind, Map<String, String> query) {
        long since = Long.parseLong(query.get("Watch"));
        long waitMillis = Long.parseLong(query.getOrDefault("WaitMs", "0"));
        long begun = System.nanoTime();
        while (true) {
            JsonArray events = new JsonArray();
            for (Event event : history) {
                if (event.revision() > since && event.kind().equals(kind)) {
                    JsonObject json = new JsonObject();
                    json.add("Object", event.object());
                    json.addProperty("Tombstone", event.removed());
                    events.add(json);
                }
            }
            long waitedMillis = (System.nanoTime() - begun) / 1_000_000;
            long cutMillis = path.cutWatchesAfterMillis;
            if (events.isEmpty() && cutMillis > 0 && waitedMillis >= cutMillis) {
                return null;
            }
            if (!events.isEmpty() || waitedMillis >= waitMillis || path.silent) {
                JsonObject body = new JsonObject();
                body.add("events", events);
                body.addProperty("CurrentRev", revision);
                return body;
            }
            try {
                wait(Math.max(1, Math.min(50, waitMillis - waitedMillis)));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static Map<String, String> parseQuery(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(part.substring(0, equals), decode(part.substring(equals + 1)));
            }
        }
        return query;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
