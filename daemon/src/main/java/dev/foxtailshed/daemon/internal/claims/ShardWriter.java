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
 * <p>While an update is in flight, further changes wait for the next one. Every update replaces
 * exactly the version that it was computed from, or creates the object; after a conflict or a
 * failure the shard is read and the changes are applied again. An update without a response may
 * still take effect as long as the version that it replaces is current; therefore the next round
 * writes even if it has nothing to change. Thread-safe: all state is confined to the serial
 * executor.
 */
final class ShardWriter {

    private static final int MAXIMUM_BATCH_SIZE = 1_000;
    private static final long WRITE_SPACING_MILLIS = 25;
    private static final long INITIAL_PAUSE_MILLIS = 50;
    private static final long MAXIMUM_PAUSE_MILLIS = 1_000;
    private static final long NO_VERSION = -1;

    private final String objectName;
    private final ObjectStore store;
    private final TimerService timer;
    private final Clock clock;
    private final Executor executor;
    private final WriteRateLimiter rateLimiter;
    private final ClaimEvents events;
    private final Set<ClaimOperation> queue = new LinkedHashSet<>();
    private Optional<CachedShard> cachedShard = Optional.empty();

    /** A read that returns an older version is stale. */
    private long minimumVersion;

    /** The version that an update without a response may still replace. */
    private long unresolvedVersion = NO_VERSION;

    private long nextRoundMillis;
    private long pauseMillis = INITIAL_PAUSE_MILLIS;
    private boolean roundInProgress;

    /** A shard and the version under which it is stored, zero if it does not exist. */
    private record CachedShard(long version, ClaimShard shard) {}

    /** Changes that are stored together, and the resulting shard. */
    private record Batch(List<ClaimOperation> operations, ClaimShard shard) {}

    ShardWriter(
            String objectName,
            ObjectStore store,
            TimerService timer,
            Clock clock,
            Executor executor,
            WriteRateLimiter rateLimiter,
            ClaimEvents events) {
        this.objectName = objectName;
        this.store = store;
        this.timer = timer;
        this.clock = clock;
        this.executor = executor;
        this.rateLimiter = rateLimiter;
        this.events = events;
        this.nextRoundMillis = timer.nowMillis();
    }

    /** Stores a change; retries without limit. */
    void submit(ClaimOperation operation) {
        executor.execute(() -> add(operation));
    }

    /**
     * Claims a key within a time limit; if the limit passes, the key is released if it may have
     * been stored.
     */
    void submit(ClaimOperation.Acquire acquire, long timeoutMillis, Runnable onTimeout) {
        executor.execute(
                () -> {
                    acquire.setTimeout(
                            timer.once(
                                    timeoutMillis,
                                    () -> executor.execute(() -> abandon(acquire, onTimeout))));
                    add(acquire);
                });
    }

    private void add(ClaimOperation operation) {
        queue.add(operation);
        startRoundIfIdle();
    }

    private void abandon(ClaimOperation.Acquire acquire, Runnable onTimeout) {
        if (!queue.remove(acquire)) {
            return;
        }
        events.abandoned();
        if (acquire.isSent()) {
            add(new ClaimOperation.Release(acquire.request()));
        }
        onTimeout.run();
    }

    private void startRoundIfIdle() {
        if (roundInProgress || queue.isEmpty()) {
            return;
        }
        roundInProgress = true;
        long nowMillis = timer.nowMillis();
        long waitMillis = Math.max(rateLimiter.reserve(nowMillis), nextRoundMillis - nowMillis);
        if (waitMillis > 0) {
            schedule(waitMillis, this::runRound);
        } else {
            runRound();
        }
    }

    private void runRound() {
        cachedShard.ifPresentOrElse(cached -> update(cached, false), this::read);
    }

    private void read() {
        cachedShard = Optional.empty();
        store.get(objectName).thenAccept(result -> executor.execute(() -> onRead(result)));
    }

    private void onRead(Either<StoreFailure, Optional<StoredObject>> result) {
        if (result.isLeft()) {
            retryAfterPause(result.getLeft().message());
            return;
        }
        Optional<StoredObject> object = result.get();
        long version = object.map(StoredObject::version).orElse(0L);
        if (version < minimumVersion) {
            retryAfterPause("the object API returned an outdated version");
            return;
        }
        Either<String, ClaimShard> shard =
                object.map(o -> ClaimShardCodec.decode(o.body()))
                        .orElse(Either.right(ClaimShard.EMPTY));
        if (shard.isLeft()) {
            events.unreadable(objectName, shard.getLeft());
            retryAfterPause(shard.getLeft());
            return;
        }
        update(new CachedShard(version, shard.get()), true);
    }

    private void update(CachedShard current, boolean justRead) {
        cachedShard = Optional.of(current);
        Batch batch = apply(current.shard());
        boolean needsRead =
                !justRead && batch.operations().stream().anyMatch(ClaimOperation::needsFreshShard);
        if (needsRead) {
            read();
        } else if (batch.shard() == current.shard() && unresolvedVersion != current.version()) {
            finish(batch);
        } else {
            write(current, batch);
        }
    }

    private Batch apply(ClaimShard shard) {
        long nowEpochMillis = clock.millis();
        List<ClaimOperation> operations = queue.stream().limit(MAXIMUM_BATCH_SIZE).toList();
        ClaimShard next = shard;
        for (ClaimOperation operation : operations) {
            next = operation.apply(next, nowEpochMillis);
        }
        // Expired claims are removed only together with another change, which is written anyway.
        ClaimShard compacted = next == shard ? next : next.compact(nowEpochMillis);
        return new Batch(operations, compacted);
    }

    private void write(CachedShard current, Batch batch) {
        batch.operations().forEach(ClaimOperation::markSent);
        OptionalLong expected =
                current.version() == 0 ? OptionalLong.empty() : OptionalLong.of(current.version());
        events.writing(batch.operations().size());
        CompletableFuture<Either<StoreFailure, PutOutcome>> put =
                store.put(objectName, ClaimShardCodec.encode(batch.shard()), expected);
        put.thenAccept(result -> executor.execute(() -> onWritten(current, batch, result)));
    }

    private void onWritten(CachedShard base, Batch batch, Either<StoreFailure, PutOutcome> result) {
        if (result.isLeft()) {
            minimumVersion = base.version();
            unresolvedVersion = base.version();
            retryAfterPause(result.getLeft().message());
        } else if (result.get() instanceof PutOutcome.Stored stored) {
            minimumVersion = stored.version();
            cachedShard = Optional.of(new CachedShard(stored.version(), batch.shard()));
            nextRoundMillis = timer.nowMillis() + WRITE_SPACING_MILLIS;
            finish(batch);
        } else {
            events.conflict();
            minimumVersion = base.version() + 1;
            read();
        }
    }

    private void finish(Batch batch) {
        for (ClaimOperation operation : batch.operations()) {
            // An operation whose time limit has passed meanwhile is no longer in the queue.
            if (queue.remove(operation)) {
                operation.onStored();
            }
        }
        pauseMillis = INITIAL_PAUSE_MILLIS;
        roundInProgress = false;
        startRoundIfIdle();
    }

    private void retryAfterPause(String cause) {
        events.failed(objectName, cause, pauseMillis == INITIAL_PAUSE_MILLIS);
        cachedShard = Optional.empty();
        schedule(pauseMillis, this::endPause);
        pauseMillis = Math.min(MAXIMUM_PAUSE_MILLIS, pauseMillis * 2);
    }

    private void endPause() {
        roundInProgress = false;
        startRoundIfIdle();
    }

    private void schedule(long delayMillis, Runnable task) {
        timer.once(delayMillis, () -> executor.execute(task));
    }
}
