package dev.foxtailshed.daemon.internal.claims;

import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.platform.ObjectListing;
import dev.foxtailshed.daemon.internal.platform.ObjectStore;
import dev.foxtailshed.daemon.internal.platform.PlatformInstance;
import dev.foxtailshed.daemon.internal.platform.PutOutcome;
import dev.foxtailshed.daemon.internal.platform.StoredObject;
import dev.foxtailshed.kernel.SteppedTimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.claims.ClaimShard;
import dev.foxtailshed.kernel.claims.ClaimShardCodec;
import io.vavr.control.Either;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Simulates the claim services of several entries with one faulty object and one clock; a seed
 * determines all steps.
 */
final class ClaimSimulation {

    private static final int ENTRIES = 3;
    private static final ClaimSettings TERMS = new ClaimSettings(2_000, 600, 200);
    private static final ClaimEvents NO_OP_EVENTS = new NoOpEvents();

    private final Random random;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Runnable> inFlight = new ArrayList<>();
    private final Set<String> crashedClaimIds = new HashSet<>();
    private Optional<StoredObject> object = Optional.empty();
    private Optional<StoredObject> previousObject = Optional.empty();
    private boolean healthy;
    private long nowMillis;

    ClaimSimulation(long seed) {
        random = new Random(seed);
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry());
        }
    }

    Random random() {
        return random;
    }

    long nowMillis() {
        return nowMillis;
    }

    Entry randomEntry() {
        return entries.get(random.nextInt(entries.size()));
    }

    List<Entry> entries() {
        return entries;
    }

    /** Runs all pending tasks and messages without advancing the clock. */
    void runTasks() {
        boolean workLeft = true;
        while (workLeft) {
            workLeft = !inFlight.isEmpty();
            deliverOne();
            for (Entry entry : entries) {
                workLeft |= !entry.tasks.isEmpty();
                entry.runOne();
            }
        }
    }

    /** Returns whether the entry that received the request has crashed. */
    boolean belongsToCrashedEntry(String claimId) {
        return crashedClaimIds.contains(claimId);
    }

    ClaimShard storedShard() {
        return object.map(o -> ClaimShardCodec.decode(o.body()).get()).orElse(ClaimShard.EMPTY);
    }

    /**
     * Performs one step.
     *
     * @param action a number from 0 to 99 that selects the step
     */
    void step(int action) {
        if (action < 58) {
            randomEntry().runOne();
        } else if (action < 84) {
            deliverOne();
        } else if (action < 96) {
            advance(random.nextInt(action < 95 ? 30 : 3_000));
        } else if (action < 99) {
            Entry entry = randomEntry();
            entry.paused = !entry.paused;
        } else {
            randomEntry().crashAndRestart();
        }
    }

    /** Ends all faults. */
    void endFaults() {
        healthy = true;
        entries.forEach(entry -> entry.paused = false);
    }

    /**
     * Performs one step without faults.
     *
     * @return false when nothing is left to happen
     */
    boolean stepWithoutFaults() {
        Optional<Entry> ready = entries.stream().filter(e -> !e.tasks.isEmpty()).findFirst();
        if (ready.isPresent()) {
            ready.get().runOne();
            return true;
        }
        if (!inFlight.isEmpty()) {
            deliverOne();
            return true;
        }
        // Longer than any pause or limit, so that all remaining timers are due.
        advance(1_100);
        return !inFlight.isEmpty() || entries.stream().anyMatch(e -> !e.tasks.isEmpty());
    }

    private void advance(long millis) {
        nowMillis += millis;
        entries.forEach(Entry::catchUp);
    }

    private void deliverOne() {
        if (!inFlight.isEmpty()) {
            inFlight.remove(random.nextInt(inFlight.size())).run();
        }
    }

    private boolean happens(int percent) {
        return !healthy && random.nextInt(100) < percent;
    }

    private Either<StoreFailure, Optional<StoredObject>> read() {
        if (happens(8)) {
            return Either.left(new StoreFailure(Verdict.NOT_RUN, "status 503"));
        }
        return Either.right(happens(10) ? previousObject : object);
    }

    private void put(
            byte[] body,
            OptionalLong expected,
            CompletableFuture<Either<StoreFailure, PutOutcome>> answer) {
        if (happens(8)) {
            answer.complete(Either.left(new StoreFailure(Verdict.NOT_RUN, "status 503")));
        } else if (happens(10)) {
            inFlight.add(() -> apply(body, expected));
            answer.complete(Either.left(new StoreFailure(Verdict.MAY_HAVE_RUN, "timeout")));
        } else {
            PutOutcome outcome = apply(body, expected);
            answer.complete(
                    happens(15)
                            ? Either.left(new StoreFailure(Verdict.MAY_HAVE_RUN, "closed"))
                            : Either.right(outcome));
        }
    }

    private PutOutcome apply(byte[] body, OptionalLong expected) {
        long version = object.map(StoredObject::version).orElse(0L);
        if (expected.orElse(0) != version) {
            return new PutOutcome.Conflict();
        }
        previousObject = object;
        object = Optional.of(new StoredObject(version + 1 + random.nextInt(2), body));
        return new PutOutcome.Stored(object.get().version());
    }

    /** One entry with its own timer and task queue. */
    final class Entry {
        private final Deque<Runnable> tasks = new ArrayDeque<>();
        private SteppedTimerService timer;
        private ClaimService service;
        private boolean paused;
        private Set<String> claimIds = new HashSet<>();
        private int incarnation;

        Entry() {
            start();
        }

        boolean isRunning() {
            return !paused;
        }

        ClaimService claims() {
            return service;
        }

        /** Records that a request was sent to the current incarnation of the entry. */
        void recordRequest(String claimId) {
            claimIds.add(claimId);
        }

        private void start() {
            int current = ++incarnation;
            timer = new SteppedTimerService();
            timer.advance(nowMillis);
            service =
                    new ClaimService(
                            new FaultyStore(),
                            timer,
                            new SimulatedClock(),
                            () -> task -> execute(current, task),
                            TERMS,
                            NO_OP_EVENTS);
        }

        private void execute(int caller, Runnable task) {
            if (caller == incarnation) {
                tasks.add(task);
            }
        }

        private void crashAndRestart() {
            crashedClaimIds.addAll(claimIds);
            claimIds = new HashSet<>();
            tasks.clear();
            paused = false;
            start();
        }

        private void runOne() {
            if (!paused && !tasks.isEmpty()) {
                tasks.remove().run();
            }
        }

        private void catchUp() {
            if (!paused) {
                timer.advance(nowMillis - timer.nowMillis());
            }
        }
    }

    /** The object API as seen by entries. */
    private final class FaultyStore implements ObjectStore {

        @Override
        public CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> get(String name) {
            CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> answer =
                    new CompletableFuture<>();
            inFlight.add(() -> answer.complete(read()));
            return answer;
        }

        @Override
        public CompletableFuture<Either<StoreFailure, PutOutcome>> put(
                String name, byte[] body, OptionalLong expectedVersion) {
            CompletableFuture<Either<StoreFailure, PutOutcome>> answer = new CompletableFuture<>();
            inFlight.add(() -> ClaimSimulation.this.put(body, expectedVersion, answer));
            return answer;
        }

        @Override
        public CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> watch(
                String name, long newerThan, long waitMillis) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Either<StoreFailure, ObjectListing>> list(
                String prefix, String after, int limit) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Either<StoreFailure, List<PlatformInstance>>> instances() {
            throw new UnsupportedOperationException();
        }
    }

    /** The wall clock, which all entries share. */
    private final class SimulatedClock extends Clock {

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(nowMillis);
        }
    }

    private static final class NoOpEvents implements ClaimEvents {
        @Override
        public void writing(int changeCount) {}

        @Override
        public void conflict() {}

        @Override
        public void failed(String objectName, String cause, boolean first) {}

        @Override
        public void unreadable(String objectName, String cause) {}

        @Override
        public void abandoned() {}
    }
}
