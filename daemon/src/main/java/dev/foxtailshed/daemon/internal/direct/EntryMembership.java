package dev.foxtailshed.daemon.internal.direct;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.hosting.SharedStore;
import dev.foxtailshed.daemon.hosting.SharedStore.Lookup;
import dev.foxtailshed.daemon.hosting.SharedStore.Page;
import dev.foxtailshed.daemon.hosting.StoreCollection;
import dev.foxtailshed.daemon.hosting.StoreEntry;
import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.settings.SettingParsers;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.direct.RevisionLivenessTracker;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Tracks the live entries of the deployment through the records that they write into the store.
 *
 * <p>Each entry refreshes its record periodically; an entry whose record stays unchanged for
 * several periods counts as removed. The period is long, since the result is only used to compute
 * shares and to find peers. Runs on the executor; any thread may read the results.
 */
final class EntryMembership {

    /** Period of refreshes and reads; shares may lag by this time. */
    private static final long PERIOD_MILLIS = 10_000;

    /**
     * Delay of the first read, so that the other entries of a starting deployment have registered.
     */
    private static final long FIRST_READ_MILLIS = 500;

    private static final String ADDRESS = "address";
    private static final String ZONE = "zone";
    private static final String REFRESHES = "refreshes";
    private static final String ATTACHMENT = "crashes";

    private final SharedStore store;
    private final DirectSettings settings;
    private final TimerService timer;
    private final Executor executor;
    private final Attachment attachment;
    private final RevisionLivenessTracker liveness = new RevisionLivenessTracker(4 * PERIOD_MILLIS);
    private final AtomicReference<List<InetSocketAddress>> otherAddresses =
            new AtomicReference<>(List.of());
    private final AtomicReference<Optional<Integer>> count =
            new AtomicReference<>(Optional.empty());
    private long refreshes;

    /** Data that an entry adds to its own record, and merges from the records of all entries. */
    interface Attachment {
        /** Returns the data to write with the next refresh. */
        JsonElement toJson();

        /** Merges the data of a record, of this entry's last incarnation too. */
        void merge(JsonElement json);
    }

    EntryMembership(
            SharedStore store,
            DirectSettings settings,
            TimerService timer,
            Executor executor,
            Attachment attachment) {
        this.store = store;
        this.settings = settings;
        this.timer = timer;
        this.executor = executor;
        this.attachment = attachment;
    }

    void start() {
        executor.execute(this::refresh);
        timer.once(FIRST_READ_MILLIS, () -> executor.execute(() -> read("", new ArrayList<>())));
        timer.every(
                PERIOD_MILLIS,
                () ->
                        executor.execute(
                                () -> {
                                    refresh();
                                    read("", new ArrayList<>());
                                }));
    }

    /** Returns the number of live entries, empty until the first read. */
    Optional<Integer> count() {
        return count.get();
    }

    /** Returns the control addresses of the other live entries. */
    List<InetSocketAddress> otherAddresses() {
        return otherAddresses.get();
    }

    private void refresh() {
        store.get(StoreCollection.ENTRIES, settings.instance())
                .thenAcceptAsync(this::write, executor);
    }

    private void write(Either<StoreFailure, Lookup> read) {
        if (read.isLeft()) {
            // The collection watchers log that the store is unavailable; the next period retries.
            return;
        }
        if (refreshes == 0) {
            read.get().entry().ifPresent(this::mergeAttachment);
        }
        JsonObject body = new JsonObject();
        body.addProperty(ADDRESS, SettingParsers.text(settings.controlAddress()));
        body.addProperty(ZONE, settings.zone());
        body.addProperty(REFRESHES, ++refreshes);
        body.add(ATTACHMENT, attachment.toJson());
        read.get()
                .entry()
                .map(entry -> store.replace(StoreCollection.ENTRIES, entry, body))
                .orElseGet(() -> store.create(StoreCollection.ENTRIES, settings.instance(), body))
                .thenAccept(
                        written -> {
                            if (written.isLeft()) {
                                EventLog.log(
                                        EventCode.MEMBERSHIP_NOT_WRITTEN,
                                        Field.of("cause", written.getLeft().message()));
                            }
                        });
    }

    private void read(String after, List<StoreEntry> entries) {
        store.list(StoreCollection.ENTRIES, after)
                .thenAcceptAsync(page -> onPage(page, entries), executor);
    }

    private void onPage(Either<StoreFailure, Page> read, List<StoreEntry> entries) {
        if (read.isLeft()) {
            // The last known members stay in use; a share that is too small does no harm.
            return;
        }
        List<StoreEntry> page = read.get().entries();
        entries.addAll(page);
        if (read.get().truncated() && !page.isEmpty()) {
            read(page.get(page.size() - 1).name(), entries);
            return;
        }
        publish(entries);
    }

    private void publish(List<StoreEntry> entries) {
        Map<String, Long> revisions = new HashMap<>();
        Map<String, InetSocketAddress> addressesByName = new HashMap<>();
        for (StoreEntry entry : entries) {
            Optional<InetSocketAddress> address = addressOf(entry);
            if (address.isPresent()) {
                // A record without an address is that of another program.
                revisions.put(entry.name(), entry.position().revision());
                addressesByName.put(entry.name(), address.get());
            }
        }
        List<String> live = liveness.update(revisions, timer.nowMillis());
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (StoreEntry entry : entries) {
            if (live.contains(entry.name()) && !entry.name().equals(settings.instance())) {
                addresses.add(addressesByName.get(entry.name()));
                mergeAttachment(entry);
            }
        }
        otherAddresses.set(List.copyOf(addresses));
        Optional<Integer> before = count.getAndSet(Optional.of(Math.max(1, live.size())));
        if (!before.equals(count.get())) {
            EventLog.log(EventCode.MEMBERSHIP_CHANGED, Field.of("entries", live.size()));
        }
    }

    private void mergeAttachment(StoreEntry entry) {
        if (!entry.body().has(ATTACHMENT)) {
            return;
        }
        try {
            attachment.merge(entry.body().get(ATTACHMENT));
        } catch (RuntimeException e) {
            logUnreadable(entry, e);
        }
    }

    private static void logUnreadable(StoreEntry entry, RuntimeException cause) {
        EventLog.log(
                EventCode.STORE_ENTRY_UNREADABLE,
                Field.of("collection", StoreCollection.ENTRIES),
                Field.of("entry", entry.name()),
                Field.of("cause", cause));
    }

    private static Optional<InetSocketAddress> addressOf(StoreEntry entry) {
        try {
            return Optional.of(SettingParsers.address(entry.body().get(ADDRESS).getAsString()));
        } catch (RuntimeException e) {
            logUnreadable(entry, e);
            return Optional.empty();
        }
    }
}
