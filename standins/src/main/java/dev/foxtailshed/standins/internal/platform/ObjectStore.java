package dev.foxtailshed.standins.internal.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * An in-memory store of objects with versions, conditional updates and watches.
 *
 * <p>One counter assigns the versions of all objects, so a version is never used twice, even after
 * a delete. Watchers run on the thread that makes the change. Thread-safe.
 */
final class ObjectStore {

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<String, List<Watch>> watches = new HashMap<>();
    private long lastVersion;

    synchronized Optional<StoredObject> get(String name) {
        return Optional.ofNullable(entries.get(name)).flatMap(Entry::live);
    }

    /** Returns the version before the newest, or the newest if there is no earlier one. */
    synchronized Optional<StoredObject> getStale(String name) {
        Optional<Entry> entry = Optional.ofNullable(entries.get(name));
        Optional<StoredObject> previous = entry.flatMap(e -> Optional.ofNullable(e.previous));
        return previous.isPresent() ? previous : entry.flatMap(Entry::live);
    }

    /**
     * Writes an object if it has the expected version.
     *
     * @param expectedVersion the version that the object must have, or 0 if it must not exist
     */
    PutResult put(String name, long expectedVersion, byte[] body) {
        List<Watch> removedWatches;
        StoredObject stored;
        synchronized (this) {
            Optional<StoredObject> current = get(name);
            long currentVersion = current.map(StoredObject::version).orElse(0L);
            if (currentVersion != expectedVersion) {
                return new PutResult(false, currentVersion);
            }
            stored = new StoredObject(++lastVersion, body);
            entries.put(name, new Entry(stored.version(), stored, current.orElse(null)));
            removedWatches = removeWatches(name);
        }
        removedWatches.forEach(w -> w.notifyWatcher(Change.of(stored)));
        return new PutResult(true, stored.version());
    }

    DeleteResult delete(String name, long expectedVersion) {
        List<Watch> removedWatches;
        Change change;
        synchronized (this) {
            Optional<StoredObject> current = get(name);
            if (current.isEmpty()) {
                return new DeleteResult(DeleteResult.Kind.NOT_FOUND, 0);
            }
            if (current.get().version() != expectedVersion) {
                return new DeleteResult(DeleteResult.Kind.CONFLICT, current.get().version());
            }
            change = new Change(++lastVersion, Optional.empty());
            entries.put(name, new Entry(change.version(), null, null));
            removedWatches = removeWatches(name);
        }
        removedWatches.forEach(w -> w.notifyWatcher(change));
        return new DeleteResult(DeleteResult.Kind.DELETED, change.version());
    }

    /** Runs the watcher once, when the object has a newer version than the given one. */
    Watch watch(String name, long newerThan, Consumer<Change> watcher) {
        Watch watch = new Watch(name, watcher);
        Change change;
        synchronized (this) {
            Entry entry = entries.get(name);
            if (entry == null || entry.version <= newerThan) {
                watches.computeIfAbsent(name, n -> new ArrayList<>()).add(watch);
                return watch;
            }
            change = new Change(entry.version, entry.live());
        }
        watch.notifyWatcher(change);
        return watch;
    }

    synchronized boolean unwatch(Watch watch) {
        List<Watch> open = watches.get(watch.name);
        boolean removed = open != null && open.remove(watch);
        if (removed && open.isEmpty()) {
            watches.remove(watch.name);
        }
        return removed;
    }

    /** Removes all watches and runs their watchers with version 0 and no object. */
    void notifyAllWatchers() {
        List<Watch> removedWatches = new ArrayList<>();
        synchronized (this) {
            watches.values().forEach(removedWatches::addAll);
            watches.clear();
        }
        removedWatches.forEach(w -> w.notifyWatcher(new Change(0, Optional.empty())));
    }

    synchronized boolean isOpen(Watch watch) {
        return watches.getOrDefault(watch.name, List.of()).contains(watch);
    }

    synchronized int openWatchCount() {
        return watches.values().stream().mapToInt(List::size).sum();
    }

    synchronized Listing list(String prefix, String after, int limit) {
        List<ObjectInfo> found = new ArrayList<>();
        for (Map.Entry<String, Entry> e : entries.tailMap(prefix, true).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            Optional<StoredObject> live = e.getValue().live();
            if (live.isEmpty() || e.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (found.size() == limit) {
                return new Listing(found, true);
            }
            found.add(new ObjectInfo(e.getKey(), live.get().version(), live.get().body().length));
        }
        return new Listing(found, false);
    }

    private List<Watch> removeWatches(String name) {
        List<Watch> open = watches.remove(name);
        return open == null ? List.of() : open;
    }

    /** One version of an object. */
    record StoredObject(long version, byte[] body) {}

    /** The change passed to a watcher: the newest version, without an object after a delete. */
    record Change(long version, Optional<StoredObject> stored) {

        static Change of(StoredObject stored) {
            return new Change(stored.version(), Optional.of(stored));
        }
    }

    /** The result of a write: the new version if written, else the current version or 0. */
    record PutResult(boolean written, long version) {}

    /** The result of a delete, with the current version of the object on a conflict. */
    record DeleteResult(Kind kind, long version) {

        /** The outcome of a delete. */
        enum Kind {
            DELETED,
            CONFLICT,
            NOT_FOUND
        }
    }

    /** An object in a listing. */
    record ObjectInfo(String name, long version, int sizeBytes) {}

    /** A page of a listing. */
    record Listing(List<ObjectInfo> objects, boolean more) {}

    /** A watch on one object. */
    static final class Watch {

        private final String name;
        private final Consumer<Change> watcher;

        Watch(String name, Consumer<Change> watcher) {
            this.name = name;
            this.watcher = watcher;
        }

        private void notifyWatcher(Change change) {
            watcher.accept(change);
        }
    }

    private static final class Entry {

        private final long version;
        private final StoredObject stored;
        private final StoredObject previous;

        Entry(long version, StoredObject stored, StoredObject previous) {
            this.version = version;
            this.stored = stored;
            this.previous = previous;
        }

        Optional<StoredObject> live() {
            return Optional.ofNullable(stored);
        }
    }
}
