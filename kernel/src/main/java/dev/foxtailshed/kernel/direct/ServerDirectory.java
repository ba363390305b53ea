package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The backend servers that may get new requests, as read from the platform's store.
 *
 * <p>A server that was seen draining or gone stays out for the rest of its incarnation, whatever an
 * older read says. Entries lapse while the store is away and come back shortly after its return, so
 * an entry that is missing then keeps its server until the grace after the return has passed. Not
 * thread-safe; readers take {@link #usable}.
 */
public final class ServerDirectory {

    /**
     * How long a lapsed entry may take to come back after the store's return; platform contract.
     */
    public static final long RETURN_GRACE_MILLIS = 2_000;

    /** Departures remembered, far above what one deployment loses in a day. */
    private static final int MAXIMUM_DEPARTED = 10_000;

    private final Map<String, DirectServer> present = new HashMap<>();
    private final Map<String, DirectServer> missing = new HashMap<>();
    private final Set<Incarnation> departed = new HashSet<>();
    private long graceEndMillis = Long.MIN_VALUE;
    private boolean storeAway;
    private List<DirectServer> usable = List.of();

    /** Notes that the store does not answer: until its return, entries may lapse. */
    public void markStoreUnavailable() {
        storeAway = true;
    }

    /**
     * Notes that the store answers again.
     *
     * @param nowMillis the time
     */
    public void markStoreAvailable(long nowMillis) {
        if (storeAway) {
            storeAway = false;
            graceEndMillis = nowMillis + RETURN_GRACE_MILLIS;
        }
    }

    /**
     * Takes the complete list of servers.
     *
     * @param servers all entries that could be read
     * @param nowMillis the time
     */
    public void replaceAll(List<DirectServer> servers, long nowMillis) {
        Set<String> listed = new HashSet<>();
        servers.forEach(server -> listed.add(server.id()));
        for (String id : List.copyOf(present.keySet())) {
            if (!listed.contains(id)) {
                removeEntry(id, nowMillis);
            }
        }
        servers.forEach(this::put);
        publish();
    }

    /**
     * Takes a new or changed entry.
     *
     * @param server the entry
     */
    public void update(DirectServer server) {
        put(server);
        publish();
    }

    /**
     * Takes the removal of an entry.
     *
     * @param id the server's identity
     * @param nowMillis the time
     */
    public void remove(String id, long nowMillis) {
        removeEntry(id, nowMillis);
        publish();
    }

    /**
     * Drops the servers whose entries did not come back within the grace.
     *
     * @param nowMillis the time
     * @return the servers dropped now
     */
    public List<DirectServer> expireMissing(long nowMillis) {
        if (missing.isEmpty() || storeAway || nowMillis < graceEndMillis) {
            return List.of();
        }
        List<DirectServer> dropped = new ArrayList<>(missing.values());
        dropped.forEach(server -> depart(server.incarnation()));
        missing.clear();
        publish();
        return dropped;
    }

    /**
     * Returns the servers that may get new requests.
     *
     * @return an immutable list in the order of their identities
     */
    public List<DirectServer> usable() {
        return usable;
    }

    /**
     * Returns the servers whose entries say that they leave.
     *
     * @return a new list
     */
    public List<DirectServer> draining() {
        return present.values().stream().filter(DirectServer::draining).toList();
    }

    private void put(DirectServer server) {
        DirectServer before = present.get(server.id());
        if (before != null && before.startedEpochMillis() > server.startedEpochMillis()) {
            return;
        }
        missing.remove(server.id());
        present.put(server.id(), server);
        if (server.draining()) {
            depart(server.incarnation());
        }
    }

    private void removeEntry(String id, long nowMillis) {
        DirectServer server = present.remove(id);
        if (server == null) {
            return;
        }
        boolean mayComeBack = storeAway || nowMillis < graceEndMillis;
        if (mayComeBack && !server.draining()) {
            missing.put(id, server);
        } else {
            depart(server.incarnation());
        }
    }

    private void depart(Incarnation incarnation) {
        if (departed.size() >= MAXIMUM_DEPARTED) {
            Iterator<Incarnation> any = departed.iterator();
            any.next();
            any.remove();
        }
        departed.add(incarnation);
    }

    private void publish() {
        List<DirectServer> servers = new ArrayList<>(present.values());
        servers.addAll(missing.values());
        servers.removeIf(server -> departed.contains(server.incarnation()));
        servers.sort((a, b) -> a.id().compareTo(b.id()));
        usable = List.copyOf(servers);
    }
}
