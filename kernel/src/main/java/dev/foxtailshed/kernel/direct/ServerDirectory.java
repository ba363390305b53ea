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
 * The backend servers that may get new requests, according to the platform's store.
 *
 * <p>A server that was seen draining or removed stays excluded for the rest of its incarnation,
 * even if an older read still lists it. Entries expire while the store is unavailable, or are lost
 * when it is restored from a copy, and are written again shortly after it is available. A server
 * whose entry is missing during this time is therefore kept until a grace period after the store's
 * return has passed. Not thread-safe; readers use the immutable list returned by {@link #usable}.
 */
public final class ServerDirectory {

    /**
     * How long an expired entry may take to reappear after the store's return, by the platform's
     * contract.
     */
    public static final long RETURN_GRACE_MILLIS = 2_000;

    /**
     * Maximum number of departed servers that are kept; far above what one deployment loses in a
     * day.
     */
    private static final int MAXIMUM_DEPARTED = 10_000;

    private final Map<String, DirectServer> present = new HashMap<>();
    private final Map<String, DirectServer> missing = new HashMap<>();
    private final Set<Incarnation> departed = new HashSet<>();
    private long graceEndMillis = Long.MIN_VALUE;
    private boolean storeUnavailable;
    private List<DirectServer> usable = List.of();

    /** Records that the store does not respond; until it does, entries may expire. */
    public void markStoreUnavailable() {
        storeUnavailable = true;
    }

    /**
     * Records that the store responds again and starts the grace period.
     *
     * @param nowMillis the current time
     */
    public void markStoreAvailable(long nowMillis) {
        if (storeUnavailable) {
            storeUnavailable = false;
            graceEndMillis = nowMillis + RETURN_GRACE_MILLIS;
        }
    }

    /**
     * Records that the store was restored from a copy and starts the grace period, also if the
     * outage was too short to be noticed.
     *
     * @param nowMillis the current time
     */
    public void markStoreRestored(long nowMillis) {
        graceEndMillis = nowMillis + RETURN_GRACE_MILLIS;
    }

    /**
     * Replaces the entries with a complete list.
     *
     * @param servers all entries that could be read
     * @param nowMillis the current time
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
        rebuildUsable();
    }

    /**
     * Adds or replaces an entry.
     *
     * @param server the new entry
     */
    public void update(DirectServer server) {
        put(server);
        rebuildUsable();
    }

    /**
     * Removes an entry.
     *
     * @param id the server's id
     * @param nowMillis the current time
     */
    public void remove(String id, long nowMillis) {
        removeEntry(id, nowMillis);
        rebuildUsable();
    }

    /**
     * Removes the servers whose entries did not reappear within the grace period.
     *
     * @param nowMillis the current time
     * @return the servers removed by this call
     */
    public List<DirectServer> expireMissing(long nowMillis) {
        if (missing.isEmpty() || storeUnavailable || nowMillis < graceEndMillis) {
            return List.of();
        }
        List<DirectServer> removed = new ArrayList<>(missing.values());
        removed.forEach(server -> markDeparted(server.incarnation()));
        missing.clear();
        rebuildUsable();
        return removed;
    }

    /**
     * Returns the servers that may get new requests.
     *
     * @return an immutable list sorted by server id
     */
    public List<DirectServer> usable() {
        return usable;
    }

    /**
     * Returns the servers whose entries say that they are draining.
     *
     * @return a new list
     */
    public List<DirectServer> draining() {
        return present.values().stream().filter(DirectServer::draining).toList();
    }

    private void put(DirectServer server) {
        DirectServer existing = present.get(server.id());
        if (existing != null && existing.startedEpochMillis() > server.startedEpochMillis()) {
            return;
        }
        missing.remove(server.id());
        present.put(server.id(), server);
        if (server.draining()) {
            markDeparted(server.incarnation());
        }
    }

    private void removeEntry(String id, long nowMillis) {
        DirectServer server = present.remove(id);
        if (server == null) {
            return;
        }
        boolean mayReturn = storeUnavailable || nowMillis < graceEndMillis;
        if (mayReturn && !server.draining()) {
            missing.put(id, server);
        } else {
            markDeparted(server.incarnation());
        }
    }

    private void markDeparted(Incarnation incarnation) {
        if (departed.size() >= MAXIMUM_DEPARTED) {
            Iterator<Incarnation> iterator = departed.iterator();
            iterator.next();
            iterator.remove();
        }
        departed.add(incarnation);
    }

    private void rebuildUsable() {
        List<DirectServer> servers = new ArrayList<>(present.values());
        servers.addAll(missing.values());
        servers.removeIf(server -> departed.contains(server.incarnation()));
        servers.sort((a, b) -> a.id().compareTo(b.id()));
        usable = List.copyOf(servers);
    }
}
