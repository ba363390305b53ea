package dev.foxtailshed.daemon.internal.entry;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.reflect.TypeToken;
import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.platform.ObjectStore;
import dev.foxtailshed.daemon.internal.platform.PutOutcome;
import dev.foxtailshed.daemon.internal.platform.StoredObject;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.suspects.SuspectChange;
import dev.foxtailshed.kernel.suspects.SuspectIsolation;
import dev.foxtailshed.kernel.suspects.Suspects;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Holds the requests suspected of crashing backend servers, shared by all entries through one
 * stored object.
 *
 * <p>A change takes effect here immediately, and at the other entries once the object API has
 * stored it; while that is unavailable, changes are queued. Thread-safe.
 */
final class SuspectRegistry {

    private static final String OBJECT_NAME = "suspects/current";
    private static final long WATCH_MILLIS = 30_000;
    private static final long RETRY_DELAY_MILLIS = 500;
    private static final long CONFLICT_RETRY_DELAY_MILLIS = 20;
    private static final long RETENTION_MILLIS = 3_600_000;
    private static final Gson GSON = new Gson();

    private final ObjectStore store;
    private final TimerService timer;
    private final Clock clock;
    private final SuspectIsolation suspectIsolation = new SuspectIsolation();
    private final List<SuspectChange> pending = new ArrayList<>();
    private Suspects shared = Suspects.NONE;
    private long sharedVersion;
    private boolean writing;
    private volatile Suspects suspects = Suspects.NONE;
    private volatile boolean closed;

    /** The stored form of a suspect; its component names are the JSON keys. */
    private record StoredSuspect(String digest, Set<String> crashes, long lastEpochMillis) {}

    SuspectRegistry(ObjectStore store, TimerService timer, Clock clock) {
        this.store = store;
        this.timer = timer;
        this.clock = clock;
    }

    /** Starts to watch the changes of other entries. */
    void start() {
        watch();
    }

    void close() {
        closed = true;
    }

    Suspects suspects() {
        return suspects;
    }

    SuspectIsolation suspectIsolation() {
        return suspectIsolation;
    }

    void addCrash(String digest, String crash) {
        change(new SuspectChange.Crashed(digest, crash, clock.millis()));
    }

    void clear(String digest) {
        change(new SuspectChange.Cleared(digest));
    }

    private synchronized void change(SuspectChange change) {
        pending.add(change);
        refresh();
        write();
    }

    private void refresh() {
        Suspects all = shared;
        for (SuspectChange change : pending) {
            all = all.apply(change);
        }
        suspects = all.withoutOlderThan(clock.millis() - RETENTION_MILLIS);
    }

    private synchronized void write() {
        if (writing || pending.isEmpty() || closed) {
            return;
        }
        writing = true;
        List<SuspectChange> written = List.copyOf(pending);
        Suspects next = suspects;
        OptionalLong expected =
                sharedVersion == 0 ? OptionalLong.empty() : OptionalLong.of(sharedVersion);
        store.put(OBJECT_NAME, serialize(next), expected)
                .thenAccept(outcome -> onWritten(outcome, next, written));
    }

    private synchronized void onWritten(
            Either<StoreFailure, PutOutcome> outcome, Suspects next, List<SuspectChange> changes) {
        writing = false;
        if (outcome.isRight() && outcome.get() instanceof PutOutcome.Stored stored) {
            pending.subList(0, changes.size()).clear();
            adopt(stored.version(), next);
            write();
        } else if (outcome.isRight()) {
            store.get(OBJECT_NAME).thenAccept(this::retryAfterConflict);
        } else {
            timer.once(RETRY_DELAY_MILLIS, this::write);
        }
    }

    /**
     * Resolves a write conflict: reads the other entry's changes, then writes the pending ones
     * again.
     */
    private void retryAfterConflict(Either<StoreFailure, Optional<StoredObject>> answer) {
        answer.forEach(object -> object.ifPresentOrElse(this::adoptObject, this::clearShared));
        timer.once(
                answer.isRight() ? CONFLICT_RETRY_DELAY_MILLIS : RETRY_DELAY_MILLIS, this::write);
    }

    private synchronized void clearShared() {
        shared = Suspects.NONE;
        sharedVersion = 0;
        refresh();
    }

    private void watch() {
        if (!closed) {
            store.watch(OBJECT_NAME, version(), WATCH_MILLIS).thenAccept(this::onWatched);
        }
    }

    private void onWatched(Either<StoreFailure, Optional<StoredObject>> answer) {
        answer.forEach(object -> object.ifPresent(this::adoptObject));
        boolean found = answer.isRight() && answer.get().isPresent();
        timer.once(found ? 0 : RETRY_DELAY_MILLIS, this::watch);
    }

    private void adoptObject(StoredObject object) {
        parse(object.body()).ifPresent(read -> adopt(object.version(), read));
    }

    private synchronized void adopt(long version, Suspects read) {
        if (version > sharedVersion) {
            sharedVersion = version;
            shared = read;
            refresh();
        }
    }

    private synchronized long version() {
        return sharedVersion;
    }

    private static byte[] serialize(Suspects suspects) {
        List<StoredSuspect> list =
                suspects.all().stream()
                        .map(s -> new StoredSuspect(s.digest(), s.crashes(), s.lastEpochMillis()))
                        .toList();
        return GSON.toJson(list).getBytes(StandardCharsets.UTF_8);
    }

    private static Optional<Suspects> parse(byte[] body) {
        try {
            List<StoredSuspect> list =
                    GSON.fromJson(
                            new String(body, StandardCharsets.UTF_8),
                            new TypeToken<List<StoredSuspect>>() {}.getType());
            return Optional.of(
                    Suspects.of(
                            list.stream()
                                    .map(
                                            s ->
                                                    new Suspects.Suspect(
                                                            s.digest(),
                                                            s.crashes(),
                                                            s.lastEpochMillis()))
                                    .toList()));
        } catch (JsonParseException | NullPointerException e) {
            return Optional.empty();
        }
    }
}
