package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.SharedStore;
import dev.foxtailshed.daemon.hosting.SharedStore.Change;
import dev.foxtailshed.daemon.hosting.SharedStore.Changes;
import dev.foxtailshed.daemon.hosting.SharedStore.Page;
import dev.foxtailshed.daemon.hosting.StoreCollection;
import dev.foxtailshed.daemon.hosting.StoreEntry;
import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.direct.StorePosition;
import dev.foxtailshed.kernel.retry.Backoff;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;

/**
 * Keeps a copy of one collection of the store: lists it, then watches it from the listed revision.
 *
 * <p>A failed call is retried with backoff; if the store no longer has the history of a watch, or
 * was restored from a copy, the collection is listed again. A watch waits only for a short time,
 * since a connection may stall without an error. All listeners run on the given executor, one at a
 * time.
 */
final class CollectionWatcher {

    /** Longest wait of a watch; a stalled connection must not hide a change for longer. */
    static final long WATCH_MILLIS = 2_000;

    /**
     * First and longest delay after a failure; short compared to the time in which a change must
     * take effect.
     */
    private static final Backoff BACKOFF = new Backoff(100, 800);

    private final SharedStore store;
    private final StoreCollection collection;
    private final Listener listener;
    private final TimerService timer;
    private final Executor executor;
    private final DoubleSupplier random;
    private final PeerExchange peers;
    private final Map<String, StoreEntry> entries = new TreeMap<>();
    private StorePosition known = StorePosition.NONE;
    private int failures;
    private volatile boolean closed;

    CollectionWatcher(
            SharedStore store,
            StoreCollection collection,
            Listener listener,
            TimerService timer,
            Executor executor,
            DoubleSupplier random,
            PeerExchange peers) {
        this.peers = peers;
        this.store = store;
        this.collection = collection;
        this.listener = listener;
        this.timer = timer;
        this.executor = executor;
        this.random = random;
    }

    /** Receives the content of a collection and the availability of the store. */
    interface Listener {
        /** Called with the complete collection. */
        void onList(List<StoreEntry> entries, StorePosition position);

        /** Called with the changes, possibly none, up to a position. */
        void onChanges(List<Change> changes, StorePosition position);

        /** Called when the store has become unavailable. */
        void onStoreUnavailable();

        /** Called when the store has become available again, before the next list or changes. */
        void onStoreAvailable();

        /**
         * Called when the store was restored from a copy, before the next list, which lacks the
         * changes that were lost until their writers make them again.
         */
        void onStoreRestored();

        /**
         * Returns the entries that other entries of the deployment should copy.
         *
         * @param listed the entries as last read from the store
         * @return the entries in force, which may be newer than a restored store
         */
        default List<StoreEntry> inForce(List<StoreEntry> listed) {
            return listed;
        }
    }

    void start() {
        peers.register(collection, this::copy);
        executor.execute(this::list);
    }

    void close() {
        closed = true;
    }

    private void list() {
        listPage("", Optional.empty(), new ArrayList<>());
    }

    private void listPage(String after, Optional<StorePosition> first, List<StoreEntry> entries) {
        store.list(collection, after)
                .thenAcceptAsync(page -> onPage(page, first, entries), executor)
                .exceptionally(this::onUnexpectedFailure);
    }

    /**
     * Adds a page to the list, whose first page was read at a position.
     *
     * <p>The watch starts at the first page, as later changes of its entries are not in the list.
     */
    private void onPage(
            Either<StoreFailure, Page> read,
            Optional<StorePosition> first,
            List<StoreEntry> entries) {
        if (read.isLeft()) {
            logIfUnreadable(read.getLeft());
            retry(read.getLeft(), this::list);
            return;
        }
        recordSuccess();
        Page page = read.get();
        StorePosition start = first.orElse(page.position());
        if (!start.isSameHistory(page.position())) {
            list();
            return;
        }
        entries.addAll(page.entries());
        if (page.unreadable() > 0) {
            logUnreadable(page.unreadable());
        }
        if (page.truncated() && !page.entries().isEmpty()) {
            listPage(
                    page.entries().get(page.entries().size() - 1).name(),
                    Optional.of(start),
                    entries);
            return;
        }
        applyList(entries, start);
        watch(start);
    }

    private void watch(StorePosition position) {
        watch(position, WATCH_MILLIS);
    }

    private void watch(StorePosition position, long waitMillis) {
        if (closed) {
            return;
        }
        store.watch(collection, position, waitMillis)
                .thenAcceptAsync(changes -> onChanges(changes, position), executor)
                .exceptionally(this::onUnexpectedFailure);
    }

    private void onChanges(Either<StoreFailure, Changes> read, StorePosition position) {
        if (read.isRight()) {
            recordSuccess();
            if (!read.get().position().isSameHistory(position)) {
                // Changes up to the watched revision were made again, and are not among these.
                list();
                return;
            }
            applyChanges(read.get().changes(), read.get().position());
            watch(read.get().position());
            return;
        }
        switch (read.getLeft().kind()) {
            case HISTORY_GONE, MALFORMED -> {
                logHistoryGone(read.getLeft(), position);
                retry(read.getLeft(), this::list);
            }
            default ->
                    // Without a wait, so that a store that is back responds at once.
                    retry(read.getLeft(), () -> watch(position, 0));
        }
    }

    private void retry(StoreFailure failure, Runnable next) {
        if (closed) {
            return;
        }
        boolean storeUnavailable = failure.kind() == StoreFailure.Kind.UNAVAILABLE;
        if (storeUnavailable && failures++ == 0) {
            EventLog.log(
                    EventCode.STORE_UNAVAILABLE,
                    Field.of("collection", collection),
                    Field.of("cause", failure.message()));
            listener.onStoreUnavailable();
        }
        if (storeUnavailable && failures > 1) {
            peers.fetch(collection, 1, copy -> executor.execute(() -> applyPeerCopy(copy)));
        }
        long delayMillis = BACKOFF.delayMillis(failures, random.getAsDouble());
        timer.once(
                delayMillis,
                () ->
                        executor.execute(
                                () -> {
                                    if (!closed) {
                                        next.run();
                                    }
                                }));
    }

    private void applyList(List<StoreEntry> listed, StorePosition position) {
        if (!known.equals(StorePosition.NONE) && !known.isSameHistory(position)) {
            EventLog.log(
                    EventCode.STORE_RESTORED,
                    Field.of("collection", collection),
                    Field.of("known", known),
                    Field.of("position", position));
            listener.onStoreRestored();
        }
        updateCopy(
                () -> {
                    entries.clear();
                    listed.forEach(entry -> entries.put(entry.name(), entry));
                },
                position);
        listener.onList(listed, position);
    }

    private void applyChanges(List<Change> changes, StorePosition position) {
        updateCopy(
                () -> {
                    for (Change change : changes) {
                        if (change.removed()) {
                            entries.remove(change.entry().name());
                        } else {
                            entries.put(change.entry().name(), change.entry());
                        }
                    }
                },
                position);
        listener.onChanges(changes, position);
    }

    /** Applies a peer's copy, unless the store is back or the copy is not newer. */
    private void applyPeerCopy(PeerExchange.Copy copy) {
        if (failures > 0 && copy.position().compareTo(known) > 0) {
            EventLog.log(
                    EventCode.PEER_ANSWERED,
                    Field.of("collection", collection),
                    Field.of("position", copy.position()),
                    Field.of("known", known));
            applyList(copy.entries(), copy.position());
        }
    }

    private synchronized void updateCopy(Runnable update, StorePosition position) {
        update.run();
        known = position.compareTo(known) > 0 ? position : known;
    }

    private synchronized Optional<PeerExchange.Copy> copy() {
        return known.revision() > 0
                ? Optional.of(
                        new PeerExchange.Copy(
                                listener.inForce(List.copyOf(entries.values())), known))
                : Optional.empty();
    }

    private void recordSuccess() {
        if (failures > 0) {
            EventLog.log(
                    EventCode.STORE_AVAILABLE,
                    Field.of("collection", collection),
                    Field.of("failedCalls", failures));
            failures = 0;
            listener.onStoreAvailable();
        }
    }

    private void logHistoryGone(StoreFailure failure, StorePosition position) {
        EventLog.log(
                EventCode.STORE_HISTORY_GONE,
                Field.of("collection", collection),
                Field.of("position", position),
                Field.of("cause", failure.message()));
    }

    private void logIfUnreadable(StoreFailure failure) {
        if (failure.kind() == StoreFailure.Kind.MALFORMED) {
            EventLog.log(
                    EventCode.STORE_LIST_UNREADABLE,
                    Field.of("collection", collection),
                    Field.of("cause", failure.message()));
        }
    }

    private void logUnreadable(int count) {
        EventLog.log(
                EventCode.STORE_ENTRY_UNREADABLE,
                Field.of("collection", collection),
                Field.of("entries", count));
    }

    private Void onUnexpectedFailure(Throwable cause) {
        if (closed) {
            return null;
        }
        EventLog.logUnexpected("collection watcher", cause);
        retry(
                new StoreFailure(
                        StoreFailure.Kind.MALFORMED, Verdict.MAY_HAVE_RUN, cause.toString()),
                this::list);
        return null;
    }
}
