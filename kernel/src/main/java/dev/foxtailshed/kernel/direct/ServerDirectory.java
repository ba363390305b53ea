package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The backend servers that may get new requests, according to the platform's store.
 *
 * <p>A server that was seen draining, or that said in a response that it is leaving, stays excluded
 * for the rest of its incarnation. One whose entry was removed is excluded until it writes its
 * entry again, as servers do that could not reach the store for a while; an older read that still
 * lists it does not count. Entries expire while the store is unavailable, or are lost when it is
 * restored from a copy, and are written again shortly after it is available. A server whose entry
 * is missing during this time is therefore kept until a grace period after the store's return has
 * passed. Not thread-safe; readers use the immutable list returned by {@link #usable}.
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

    private final Map<String, Registration> present = new HashMap<>();
    private final Map<String, Registration> missing = new HashMap<>();
    private final Map<Incarnation, StorePosition> removed = new DepartedServers<>();
    private final Set<Incarnation> drained = Collections.newSetFromMap(new DepartedServers<>());
    private long graceEndMillis = Long.MIN_VALUE;
    private boolean storeUnavailable;
    private List<DirectServer> usable = List.of();

    /**
     * A server as its entry describes it.
     *
     * @param server the server
     * @param written the position at which the server last changed its entry
     */
    public record Registration(DirectServer server, StorePosition written) {}

    /** A map that forgets the servers that left first if there are too many. */
    private static final class DepartedServers<V> extends LinkedHashMap<Incarnation, V> {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Incarnation, V> eldest) {
            return size() > MAXIMUM_DEPARTED;
        }
    }

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
     * @param listed all entries that could be read
     * @param nowMillis the current time
     */
    public void replaceAll(List<Registration> listed, long nowMillis) {
        Set<String> ids = new HashSet<>();
        listed.forEach(registration -> ids.add(registration.server().id()));
        for (String id : List.copyOf(present.keySet())) {
            if (!ids.contains(id)) {
                removeEntry(id, nowMillis);
            }
        }
        listed.forEach(registration -> put(registration, false));
        rebuildUsable();
    }

    /**
     * Adds or replaces an entry that was written since the last list.
     *
     * @param changed the new entry
     */
    public void update(Registration changed) {
        put(changed, true);
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
     * Records that a server said in a response that it is leaving, which its entry may not say.
     *
     * @param server the incarnation that responded
     * @return whether the server may no longer get new requests because of this
     */
    public boolean markLeaving(Incarnation server) {
        boolean wasUsable = usable.stream().anyMatch(other -> other.incarnation().equals(server));
        drained.add(server);
        if (wasUsable) {
            rebuildUsable();
        }
        return wasUsable;
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
        List<DirectServer> expired = new ArrayList<>();
        for (Registration registration : missing.values()) {
            markRemoved(registration);
            expired.add(registration.server());
        }
        missing.clear();
        rebuildUsable();
        return expired;
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
     * Returns the servers that are listed and have said that they are leaving.
     *
     * @return a new list
     */
    public List<DirectServer> draining() {
        return present.values().stream()
                .map(Registration::server)
                .filter(server -> drained.contains(server.incarnation()))
                .toList();
    }

    /** Puts an entry that was listed, or that was changed since the last list. */
    private void put(Registration registration, boolean changed) {
        DirectServer server = registration.server();
        Registration existing = present.get(server.id());
        if (existing != null
                && existing.server().startedEpochMillis() > server.startedEpochMillis()) {
            return;
        }
        missing.remove(server.id());
        present.put(server.id(), registration);
        if (server.draining()) {
            drained.add(server.incarnation());
        } else if (removed.containsKey(server.incarnation())) {
            putAfterRemoval(registration, changed);
        }
    }

    /** Ends the exclusion of a removed server if it has written its entry since it was removed. */
    private void putAfterRemoval(Registration registration, boolean changed) {
        Incarnation incarnation = registration.server().incarnation();
        StorePosition before = removed.get(incarnation);
        StorePosition written = registration.written();
        boolean writtenSince =
                before.isSameHistory(written) ? written.compareTo(before) > 0 : changed;
        if (writtenSince) {
            removed.remove(incarnation);
        } else if (!before.isSameHistory(written)) {
            // A restored store lists the entry as it was before the removal.
            removed.put(incarnation, written);
        }
    }

    private void removeEntry(String id, long nowMillis) {
        Registration registration = present.remove(id);
        if (registration == null) {
            return;
        }
        boolean mayReturn = storeUnavailable || nowMillis < graceEndMillis;
        if (mayReturn && !drained.contains(registration.server().incarnation())) {
            missing.put(id, registration);
        } else {
            markRemoved(registration);
        }
    }

    private void markRemoved(Registration registration) {
        removed.put(registration.server().incarnation(), registration.written());
    }

    private boolean isExcluded(DirectServer server) {
        return drained.contains(server.incarnation()) || removed.containsKey(server.incarnation());
    }

    private void rebuildUsable() {
        usable =
                Stream.concat(present.values().stream(), missing.values().stream())
                        .map(Registration::server)
                        .filter(server -> !isExcluded(server))
                        .sorted(Comparator.comparing(DirectServer::id))
                        .toList();
    }
}
