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

/** Several entries' claim services, one faulty object and one time, all stepped by a seed. */
final class ClaimSimulation {

    private static final int ENTRIES = 3;
    private static final ClaimSettings TERMS = new ClaimSettings(2_000, 600, 200);
    private static final ClaimEvents SILENT = new SilentEvents();

    private final Random random;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Runnable> network = new ArrayList<>();
    private final Set<String> idsOfDead = new HashSet<>();
    private Optional<StoredObject> object = Optional.empty();
    private Optional<StoredObject> before = Optional.empty();
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

    /** Lets everything happen that needs no time to pass. */
    void runTasks() {
        boolean some = true;
        while (some) {
            some = !network.isEmpty();
            deliverOne();
            for (Entry entry : entries) {
                some |= !entry.tasks.isEmpty();
                entry.runOne();
            }
        }
    }

    /** Tells whether the entry that a request came to has died. */
    boolean belongsToDead(String claimId) {
        return idsOfDead.contains(claimId);
    }

    ClaimShard storedShard() {
        return object.map(o -> ClaimShardCodec.decode(o.body()).get()).orElse(ClaimShard.EMPTY);
    }

    /** Lets something happen; the action is from 0 to 99. */
    void step(int action) {
        if (action < 58) {
            randomEntry().runOne();
        } else if (action < 84) {
            deliverOne();
        } else if (action < 96) {
            advance(random.nextInt(action < 95 ? 30 : 3_000));
        } else if (action < 99) {
            Entry entry = randomEntry();
            entry.frozen = !entry.frozen;
        } else {
            randomEntry().replace();
        }
    }

    /** Ends all faults. */
    void heal() {
        healthy = true;
        entries.forEach(entry -> entry.frozen = false);
    }

    /** Lets something happen without faults; false when nothing is left to happen. */
    boolean stepHealthy() {
        Optional<Entry> ready = entries.stream().filter(e -> !e.tasks.isEmpty()).findFirst();
        if (ready.isPresent()) {
            ready.get().runOne();
            return true;
        }
        if (!network.isEmpty()) {
            deliverOne();
            return true;
        }
        // Longer than any pause or limit, so that what remains is due.
        advance(1_100);
        return !network.isEmpty() || entries.stream().anyMatch(e -> !e.tasks.isEmpty());
    }

    private void advance(long millis) {
        nowMillis += millis;
        entries.forEach(Entry::catchUp);
    }

    private void deliverOne() {
        if (!network.isEmpty()) {
            network.remove(random.nextInt(network.size())).run();
        }
    }

    private boolean chance(int percent) {
        return !healthy && random.nextInt(100) < percent;
    }

    private Either<StoreFailure, Optional<StoredObject>> read() {
        if (chance(8)) {
            return Either.left(new StoreFailure(Verdict.NOT_RUN, "status 503"));
        }
        return Either.right(chance(10) ? before : object);
    }

    private void put(
            byte[] body,
            OptionalLong expected,
            CompletableFuture<Either<StoreFailure, PutOutcome>> answer) {
        if (chance(8)) {
            answer.complete(Either.left(new StoreFailure(Verdict.NOT_RUN, "status 503")));
        } else if (chance(10)) {
            network.add(() -> apply(body, expected));
            answer.complete(Either.left(new StoreFailure(Verdict.MAY_HAVE_RUN, "timeout")));
        } else {
            PutOutcome outcome = apply(body, expected);
            answer.complete(
                    chance(15)
                            ? Either.left(new StoreFailure(Verdict.MAY_HAVE_RUN, "closed"))
                            : Either.right(outcome));
        }
    }

    private PutOutcome apply(byte[] body, OptionalLong expected) {
        long version = object.map(StoredObject::version).orElse(0L);
        if (expected.orElse(0) != version) {
            return new PutOutcome.Conflict();
        }
        before = object;
        object = Optional.of(new StoredObject(version + 1 + random.nextInt(2), body));
        return new PutOutcome.Stored(object.get().version());
    }

    /** One entry with its own timer and its own thread. */
    final class Entry {
        private final Deque<Runnable> tasks = new ArrayDeque<>();
        private SteppedTimerService timer;
        private ClaimService service;
        private boolean frozen;
        private Set<String> ids = new HashSet<>();
        private int incarnation;

        Entry() {
            start();
        }

        boolean isRunning() {
            return !frozen;
        }

        ClaimService claims() {
            return service;
        }

        /** Notes that a request came to this incarnation of the entry. */
        void took(String claimId) {
            ids.add(claimId);
        }

        private void start() {
            int current = ++incarnation;
            timer = new SteppedTimerService();
            timer.advance(nowMillis);
            service =
                    new ClaimService(
                            new FaultyStore(),
                            timer,
                            new WorldClock(),
                            () -> task -> execute(current, task),
                            TERMS,
                            SILENT);
        }

        private void execute(int caller, Runnable task) {
            if (caller == incarnation) {
                tasks.add(task);
            }
        }

        private void replace() {
            idsOfDead.addAll(ids);
            ids = new HashSet<>();
            tasks.clear();
            frozen = false;
            start();
        }

        private void runOne() {
            if (!frozen && !tasks.isEmpty()) {
                tasks.remove().run();
            }
        }

        private void catchUp() {
            if (!frozen) {
                timer.advance(nowMillis - timer.nowMillis());
            }
        }
    }

    /** The object API as entries reach it. */
    private final class FaultyStore implements ObjectStore {

        @Override
        public CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> get(String name) {
            CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> answer =
                    new CompletableFuture<>();
            network.add(() -> answer.complete(read()));
            return answer;
        }

        @Override
        public CompletableFuture<Either<StoreFailure, PutOutcome>> put(
                String name, byte[] body, OptionalLong expectedVersion) {
            CompletableFuture<Either<StoreFailure, PutOutcome>> answer = new CompletableFuture<>();
            network.add(() -> ClaimSimulation.this.put(body, expectedVersion, answer));
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

    /** The time of day, which all entries share. */
    private final class WorldClock extends Clock {

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

    private static final class SilentEvents implements ClaimEvents {
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
