package dev.foxtailshed.daemon.internal.direct;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.hosting.BoundedJson;
import dev.foxtailshed.daemon.hosting.JsonFields;
import dev.foxtailshed.daemon.hosting.StoreCollection;
import dev.foxtailshed.daemon.hosting.StoreEntry;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.http.ClientRequests;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.daemon.internal.http.ErrorBody;
import dev.foxtailshed.kernel.direct.StorePosition;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves this entry's copy of store collections to other entries, and fetches theirs while the
 * store does not respond.
 *
 * <p>A copy has the store's position at which it was read; an entry applies only copies that are
 * newer than its own. Thread-safe.
 */
final class PeerExchange implements Endpoint {

    private static final String PATH = "/peer/collections/";
    private static final String ENTRIES = "entries";
    private static final String REVISION = "revision";
    private static final String ERA = "era";
    private static final long TIMEOUT_MILLIS = 500;
    private static final int MAXIMUM_RESPONSE_BYTES = 8 << 20;

    private final HttpClient httpClient;
    private final Supplier<List<InetSocketAddress>> peers;
    private final DoubleSupplier random;
    private final Map<StoreCollection, Supplier<Optional<Copy>>> suppliers =
            new ConcurrentHashMap<>();

    PeerExchange(
            HttpClient httpClient, Supplier<List<InetSocketAddress>> peers, DoubleSupplier random) {
        this.httpClient = httpClient;
        this.peers = peers;
        this.random = random;
    }

    /**
     * A copy of a collection as an entry has read it.
     *
     * @param entries the entries of the collection
     * @param position the store's position at which they were read
     */
    record Copy(List<StoreEntry> entries, StorePosition position) {}

    /**
     * Registers the supplier of a collection's copy, which is empty until the collection has been
     * read.
     */
    void register(StoreCollection collection, Supplier<Optional<Copy>> copy) {
        suppliers.put(collection, copy);
    }

    /**
     * Fetches a collection from peers chosen at random; failures are ignored.
     *
     * @param collection the collection
     * @param maximumPeers the number of peers to ask
     * @param next receives each peer's copy, on any thread
     */
    void fetch(StoreCollection collection, int maximumPeers, Consumer<Copy> next) {
        List<InetSocketAddress> addresses = peers.get();
        int first = (int) (random.getAsDouble() * addresses.size());
        for (int i = 0; i < Math.min(maximumPeers, addresses.size()); i++) {
            fetch(collection, addresses.get((first + i) % addresses.size()), next);
        }
    }

    private void fetch(StoreCollection collection, InetSocketAddress peer, Consumer<Copy> next) {
        ClientRequests.send(
                httpClient
                        .newRequest(peer.getHostString(), peer.getPort())
                        .path(PATH + collection.name())
                        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                new BufferingResponseListener(MAXIMUM_RESPONSE_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        boolean succeeded =
                                result.isSucceeded()
                                        && result.getResponse().getStatus() == HttpStatus.OK_200;
                        if (succeeded) {
                            read(collection, peer, getContent()).ifPresent(next);
                        }
                    }
                });
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PATH)) {
            return false;
        }
        Optional<Copy> copy =
                suppliers.entrySet().stream()
                        .filter(entry -> path.equals(PATH + entry.getKey().name()))
                        .findFirst()
                        .flatMap(entry -> entry.getValue().get());
        if (copy.isEmpty()) {
            response.setStatus(HttpStatus.SERVICE_UNAVAILABLE_503);
            ErrorBody.writeJson(response, new JsonObject(), callback);
        } else {
            ErrorBody.writeJson(response, toJson(copy.get()), callback);
        }
        return true;
    }

    private static JsonObject toJson(Copy copy) {
        JsonArray entries = new JsonArray();
        for (StoreEntry entry : copy.entries()) {
            JsonObject json = new JsonObject();
            json.addProperty("name", entry.name());
            addPosition(json, entry.position());
            json.add("body", entry.body());
            entries.add(json);
        }
        JsonObject root = new JsonObject();
        addPosition(root, copy.position());
        root.add(ENTRIES, entries);
        return root;
    }

    private static void addPosition(JsonObject json, StorePosition position) {
        json.addProperty(ERA, position.era());
        json.addProperty(REVISION, position.revision());
    }

    /** Returns the position of a copy or an entry; entries of the version before name no era. */
    private static StorePosition positionOf(JsonFields fields) {
        return new StorePosition(
                fields.has(ERA) ? fields.getLong(ERA, 0) : 0, fields.getLong(REVISION, 0));
    }

    private static Optional<Copy> read(
            StoreCollection collection, InetSocketAddress peer, byte[] content) {
        try {
            JsonFields root = JsonFields.of("", BoundedJson.parse(content));
            List<StoreEntry> entries = new ArrayList<>();
            for (JsonFields entry : root.getObjects(ENTRIES)) {
                entries.add(
                        new StoreEntry(
                                entry.getString("name"),
                                positionOf(entry),
                                entry.getObject("body").toJsonObject()));
            }
            return Optional.of(new Copy(entries, positionOf(root)));
        } catch (IllegalArgumentException e) {
            EventLog.log(
                    EventCode.PEER_UNREADABLE,
                    Field.of("peer", peer),
                    Field.of("collection", collection),
                    Field.of("cause", e.getMessage()));
            return Optional.empty();
        }
    }
}
