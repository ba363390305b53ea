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
 * Keeps one collection of the store in sight: a list, then watches from its revision.
 *
 * <p>A failed call is repeated with backoff; history that is gone leads to one new list. A watch
 * waits only for a short time, since a connection may fall silent without a sign. All listeners run
 * on the given executor, one at a time.
 */
final class CollectionWatcher {

    /** Longest wait of a watch; a silent connection must not hide a change for longer. */
    static final long WATCH_MILLIS = 2_000;

    /** First and longest pause after a failure; short against the time for a change to apply. */
    private static final Backoff BACKOFF = new Backoff(100, 800);

    private final SharedStore store;
    private final StoreCollection collection;
    private final Listener listener;
    private final TimerService timer;
    private final Executor executor;
    private final DoubleSupplier random;
    private final PeerExchange peers;
    private final Map<String, StoreEntry> entries = new TreeMap<>();
    private long knownRevision;
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

    /** Hears what the store says of a collection. */
    interface Listener {
        /** The whole collection was read. */
        void onList(List<StoreEntry> entries, long revision);

        /** Changes came, possibly none: the collection is current as of the revision. */
        void onChanges(List<Change> changes, long revision);

        /** The store stopped answering. */
        void onLost();

        /** The store answers again; a list follows. */
        void onReturned();
    }

    void start() {
        peers.serve(collection, this::copy);
        executor.execute(() -> listPage("", new ArrayList<>()));
    }

    void close() {
        closed = true;
    }

    private void listPage(String after, List<StoreEntry> entries) {
        store.list(collection, after)
                .thenAcceptAsync(page -> onPage(page, entries), executor)
                .exceptionally(this::unexpected);
    }

    private void onPage(Either<StoreFailure, Page> read, List<StoreEntry> entries) {
        if (read.isLeft()) {
            retry(read.getLeft(), () -> listPage("", new ArrayList<>()));
            return;
        }
        succeeded();
        Page page = read.get();
        entries.addAll(page.entries());
        if (page.unreadable() > 0) {
            logUnreadable(page.unreadable());
        }
        if (page.truncated() && !page.entries().isEmpty()) {
            listPage(page.entries().get(page.entries().size() - 1).name(), entries);
            return;
        }
        replaceAll(entries, page.revision());
        watch(page.revision());
    }

    private void watch(long revision) {
        watch(revision, WATCH_MILLIS);
    }

    private void watch(long revision, long waitMillis) {
        if (closed) {
            return;
        }
        store.watch(collection, revision, waitMillis)
                .thenAcceptAsync(changes -> onChanges(changes, revision), executor)
                .exceptionally(this::unexpected);
    }

    private void onChanges(Either<StoreFailure, Changes> read, long revision) {
        if (read.isRight()) {
            succeeded();
            change(read.get().changes(), read.get().revision());
            watch(read.get().revision());
            return;
        }
        switch (read.getLeft().kind()) {
            case HISTORY_GONE, MALFORMED -> {
                logListed(read.getLeft(), revision);
                retry(read.getLeft(), () -> listPage("", new ArrayList<>()));
            }
            default ->
                    // Without a wait, so that the store's return is noticed at once.
                    retry(read.getLeft(), () -> watch(revision, 0));
        }
    }

    private void retry(StoreFailure failure, Runnable next) {
        if (closed) {
            return;
        }
        boolean away = failure.kind() == StoreFailure.Kind.UNAVAILABLE;
        if (away && failures++ == 0) {
            EventLog.log(
                    EventCode.STORE_UNAVAILABLE,
                    Field.of("collection", collection),
                    Field.of("cause", failure.message()));
            listener.onLost();
        }
        if (away && failures > 1) {
            peers.fetch(collection, copy -> executor.execute(() -> takeFromPeer(copy)));
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

    private void replaceAll(List<StoreEntry> listed, long revision) {
        publish(
                () -> {
                    entries.clear();
                    listed.forEach(entry -> entries.put(entry.name(), entry));
                },
                revision);
        listener.onList(listed, revision);
    }

    private void change(List<Change> changes, long revision) {
        publish(
                () -> {
                    for (Change change : changes) {
                        if (change.removed()) {
                            entries.remove(change.entry().name());
                        } else {
                            entries.put(change.entry().name(), change.entry());
                        }
                    }
                },
                revision);
        listener.onChanges(changes, revision);
    }

    /** Takes what a peer has read, unless this entry or the store knows better by now. */
    private void takeFromPeer(PeerExchange.Copy copy) {
        if (failures > 0 && copy.revision() > knownRevision) {
            EventLog.log(
                    EventCode.PEER_ANSWERED,
                    Field.of("collection", collection),
                    Field.of("revision", copy.revision()),
                    Field.of("knownRevision", knownRevision));
            publish(() -> {}, copy.revision());
            listener.onList(copy.entries(), copy.revision());
        }
    }

    private synchronized void publish(Runnable update, long revision) {
        update.run();
        knownRevision = Math.max(knownRevision, revision);
    }

    private synchronized Optional<PeerExchange.Copy> copy() {
        return knownRevision > 0
                ? Optional.of(new PeerExchange.Copy(List.copyOf(entries.values()), knownRevision))
                : Optional.empty();
    }

    private void succeeded() {
        if (failures > 0) {
            EventLog.log(
                    EventCode.STORE_AVAILABLE,
                    Field.of("collection", collection),
                    Field.of("failedCalls", failures));
            failures = 0;
            listener.onReturned();
        }
    }

    private void logListed(StoreFailure failure, long revision) {
        EventLog.log(
                EventCode.STORE_HISTORY_GONE,
                Field.of("collection", collection),
                Field.of("revision", revision),
                Field.of("cause", failure.message()));
    }

    private void logUnreadable(int count) {
        EventLog.log(
                EventCode.STORE_ENTRY_UNREADABLE,
                Field.of("collection", collection),
                Field.of("entries", count));
    }

    private Void unexpected(Throwable cause) {
        if (closed) {
            return null;
        }
        EventLog.unexpected("store follower", cause);
        retry(
                new StoreFailure(
                        StoreFailure.Kind.MALFORMED, Verdict.MAY_HAVE_RUN, cause.toString()),
                () -> listPage("", new ArrayList<>()));
        return null;
    }
}
