package dev.foxtailshed.daemon.internal.claims;

import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.platform.ObjectStore;
import dev.foxtailshed.daemon.internal.platform.PutOutcome;
import dev.foxtailshed.daemon.internal.platform.StoredObject;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.claims.ClaimShard;
import dev.foxtailshed.kernel.claims.ClaimShardCodec;
import io.vavr.control.Either;
import java.time.Clock;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Stores the changes of one shard, many in one conditional update.
 *
 * <p>While an update is on its way, further changes wait for the next. Every update replaces the
 * version that it was worked out from, or nothing; after a conflict or a failure the shard is read
 * and the changes are applied anew. An update without an answer may still take effect as long as
 * its version stands, so that the next round writes even if it has nothing to change. Thread-safe:
 * all state is confined to the serial executor.
 */
final class ShardWriter {

    private static final int MAXIMUM_BATCH = 1_000;
    private static final long SPACING_MILLIS = 25;
    private static final long FIRST_PAUSE_MILLIS = 50;
    private static final long MAXIMUM_PAUSE_MILLIS = 1_000;
    private static final long NO_VERSION = -1;

    private final String objectName;
    private final ObjectStore store;
    private final TimerService timer;
    private final Clock clock;
    private final Executor serial;
    private final WriteRateLimiter budget;
    private final ClaimEvents events;
    private final Set<ClaimOperation> queue = new LinkedHashSet<>();
    private Optional<Held> held = Optional.empty();
    private long floorVersion;
    private long unsettledVersion = NO_VERSION;
    private long earliestMillis;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean busy;

    /** A shard as stored under a version, zero if it does not exist. */
    private record Held(long version, ClaimShard shard) {}

    /** Changes that are stored together, and the shard that results. */
    private record Batch(List<ClaimOperation> operations, ClaimShard shard) {}

    ShardWriter(
            String objectName,
            ObjectStore store,
            TimerService timer,
            Clock clock,
            Executor serial,
            WriteRateLimiter budget,
            ClaimEvents events) {
        this.objectName = objectName;
        this.store = store;
        this.timer = timer;
        this.clock = clock;
        this.serial = serial;
        this.budget = budget;
        this.events = events;
        this.earliestMillis = timer.nowMillis();
    }

    /** Stores a change, however long it takes. */
    void submit(ClaimOperation operation) {
        serial.execute(() -> add(operation));
    }

    /** Takes a key within a time; one that is not taken by then is given up again. */
    void submit(ClaimOperation.Take take, long limitMillis, Runnable onLimit) {
        serial.execute(
                () -> {
                    take.limitBy(
                            timer.once(
                                    limitMillis,
                                    () -> serial.execute(() -> abandon(take, onLimit))));
                    add(take);
                });
    }

    private void add(ClaimOperation operation) {
        queue.add(operation);
        pump();
    }

    private void abandon(ClaimOperation.Take take, Runnable onLimit) {
        if (!queue.remove(take)) {
            return;
        }
        events.abandoned();
        if (take.isSent()) {
            add(new ClaimOperation.Release(take.request()));
        }
        onLimit.run();
    }

    private void pump() {
        if (busy || queue.isEmpty()) {
            return;
        }
        busy = true;
        long nowMillis = timer.nowMillis();
        long waitMillis = Math.max(budget.reserve(nowMillis), earliestMillis - nowMillis);
        if (waitMillis > 0) {
            later(waitMillis, this::round);
        } else {
            round();
        }
    }

    private void round() {
        held.ifPresentOrElse(kept -> update(kept, false), this::read);
    }

    private void read() {
        held = Optional.empty();
        store.get(objectName).thenAccept(either -> serial.execute(() -> onRead(either)));
    }

    private void onRead(Either<StoreFailure, Optional<StoredObject>> either) {
        if (either.isLeft()) {
            pause(either.getLeft().message());
            return;
        }
        Optional<StoredObject> object = either.get();
        long version = object.map(StoredObject::version).orElse(0L);
        if (version < floorVersion) {
            pause("the object API answered with an old version");
            return;
        }
        Either<String, ClaimShard> shard =
                object.map(o -> ClaimShardCodec.decode(o.body()))
                        .orElse(Either.right(ClaimShard.EMPTY));
        if (shard.isLeft()) {
            events.unreadable(objectName, shard.getLeft());
            pause(shard.getLeft());
            return;
        }
        update(new Held(version, shard.get()), true);
    }

    private void update(Held current, boolean justRead) {
        held = Optional.of(current);
        Batch batch = apply(current.shard());
        boolean needsRead =
                !justRead && batch.operations().stream().anyMatch(ClaimOperation::needsFreshShard);
        if (needsRead) {
            read();
        } else if (batch.shard() == current.shard() && unsettledVersion != current.version()) {
            finish(batch);
        } else {
            write(current, batch);
        }
    }

    private Batch apply(ClaimShard shard) {
        long nowEpochMillis = clock.millis();
        List<ClaimOperation> operations = queue.stream().limit(MAXIMUM_BATCH).toList();
        ClaimShard next = shard;
        for (ClaimOperation operation : operations) {
            next = operation.apply(next, nowEpochMillis);
        }
        // Expired claims leave with a write that happens anyway.
        ClaimShard compacted = next == shard ? next : next.compact(nowEpochMillis);
        return new Batch(operations, compacted);
    }

    private void write(Held current, Batch batch) {
        batch.operations().forEach(ClaimOperation::markSent);
        OptionalLong expected =
                current.version() == 0 ? OptionalLong.empty() : OptionalLong.of(current.version());
        events.writing(batch.operations().size());
        CompletableFuture<Either<StoreFailure, PutOutcome>> put =
                store.put(objectName, ClaimShardCodec.encode(batch.shard()), expected);
        put.thenAccept(either -> serial.execute(() -> onWritten(current, batch, either)));
    }

    private void onWritten(Held base, Batch batch, Either<StoreFailure, PutOutcome> either) {
        if (either.isLeft()) {
            floorVersion = base.version();
            unsettledVersion = base.version();
            pause(either.getLeft().message());
        } else if (either.get() instanceof PutOutcome.Stored stored) {
            floorVersion = stored.version();
            held = Optional.of(new Held(stored.version(), batch.shard()));
            earliestMillis = timer.nowMillis() + SPACING_MILLIS;
            finish(batch);
        } else {
            events.conflict();
            floorVersion = base.version() + 1;
            read();
        }
    }

    private void finish(Batch batch) {
        for (ClaimOperation operation : batch.operations()) {
            // One whose limit passed meanwhile is no longer in the queue.
            if (queue.remove(operation)) {
                operation.stored();
            }
        }
        pauseMillis = FIRST_PAUSE_MILLIS;
        busy = false;
        pump();
    }

    private void pause(String cause) {
        events.failed(objectName, cause, pauseMillis == FIRST_PAUSE_MILLIS);
        held = Optional.empty();
        later(pauseMillis, this::resume);
        pauseMillis = Math.min(MAXIMUM_PAUSE_MILLIS, pauseMillis * 2);
    }

    private void resume() {
        busy = false;
        pump();
    }

    private void later(long delayMillis, Runnable task) {
        timer.once(delayMillis, () -> serial.execute(task));
    }
}
