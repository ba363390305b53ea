package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.AdmissionQueue.Claim;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Enqueued;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates entries that share a model pool, each with a queue of its own and the callers that are
 * bound to it.
 *
 * <p>The pool is one server as large as all decode servers together; an entry learns only from
 * refusals that it is full. As in the daemon, an entry asks when a request of its own arrives or
 * ends, and every 20 ms, unless {@link DecodeServerSelector} pauses. Replies take no time.
 */
final class FairnessReplay {

    /** From the reservation to the first event. */
    private static final long PREFILL_MILLIS = 280;

    private static final long TICK_MILLIS = 20;

    /** Time until an entry learns that one of its streams has ended. */
    private static final long END_NOTICE_MILLIS = 2;

    /** The calm before and after the burst. */
    private static final long CALM_MILLIS = 5_000;

    private static final long CALLER_DEADLINE_MILLIS = 14_000;
    private static final int CALLERS_PER_ENTRY = 8;
    private static final DirectServer POOL = TestServers.model("pool", Stage.DECODE);

    private final FairnessLoad load;
    private final Random arrivalRandom;
    private final Random random;
    private final FairnessReport report;
    private final ServerHealthRegistry health = new ServerHealthRegistry();
    private final List<Entry> entries = new ArrayList<>();
    private final PriorityQueue<Attempt> arrivals =
            new PriorityQueue<>(Comparator.comparingLong(Attempt::arrivedMillis));
    private final PriorityQueue<Stream> streams =
            new PriorityQueue<>(Comparator.comparingLong(Stream::endMillis));
    private final PriorityQueue<Stream> endNotices =
            new PriorityQueue<>(Comparator.comparingLong(Stream::endMillis));
    private long freeTokens;

    /** The kinds of streams of the ticketing deployment. */
    enum Kind {
        URGENT(806),
        PATIENT(2_006);

        private final long objectiveMillis;

        Kind(long objectiveMillis) {
            this.objectiveMillis = objectiveMillis;
        }
    }

    /** The order of the queues. */
    enum Order {
        /** The baseline. */
        BY_ARRIVAL,
        FAIR
    }

    /**
     * A request of a caller, which it may send several times.
     *
     * @param workspace the index of its workspace
     * @param kind its kind
     * @param priority its rank among workspaces and routes
     * @param entry the index of the entry to which its caller is bound
     * @param tokens what it holds in the pool
     * @param holdMillis how long it holds them
     * @param firstMillis when the caller sent it first
     */
    record Request(
            int workspace,
            Kind kind,
            int priority,
            int entry,
            long tokens,
            long holdMillis,
            long firstMillis) {}

    /** One arrival of a request at its entry. */
    record Attempt(Request request, long arrivedMillis, int number) {}

    private record Stream(Request request, long endMillis) {}

    private FairnessReplay(FairnessLoad load, Order order, long seed, FairnessReport report) {
        this.load = load;
        this.report = report;
        this.arrivalRandom = new Random(seed);
        this.random = new Random(~seed);
        this.freeTokens = load.poolTokens();
        for (int i = 0; i < load.entries(); i++) {
            entries.add(
                    new Entry(
                            order == Order.FAIR ? new FairQueue() : new BaselineQueue(),
                            random.nextInt((int) TICK_MILLIS)));
        }
    }

    /** Returns what the workspaces of a load get, summed over several seeds. */
    static FairnessReport replay(FairnessLoad load, Order order, int seeds) {
        FairnessReport report = new FairnessReport(load);
        for (long seed = 1; seed <= seeds; seed++) {
            new FairnessReplay(load, order, seed, report).run();
        }
        return report;
    }

    private boolean isMeasured(long millis) {
        return millis >= CALM_MILLIS && millis < CALM_MILLIS + load.burstMillis();
    }

    private void run() {
        addArrivals();
        long endMillis = 2 * CALM_MILLIS + load.burstMillis();
        List<Entry> order = new ArrayList<>(entries);
        for (long now = 0; now < endMillis; now++) {
            endStreams(now);
            while (!arrivals.isEmpty() && arrivals.peek().arrivedMillis() <= now) {
                arrive(arrivals.remove(), now);
            }
            // No entry is first by its number.
            Collections.shuffle(order, random);
            for (Entry entry : order) {
                boolean ticks = now % TICK_MILLIS == entry.tickOffsetMillis;
                if (ticks) {
                    for (Attempt expired : entry.queue.removeExpired(now)) {
                        reject(expired, now);
                    }
                }
                if (ticks || entry.hasEvent) {
                    entry.hasEvent = false;
                    reserve(entry, now);
                }
            }
        }
    }

    private void addArrivals() {
        for (int workspace = 0; workspace < load.workspaces().size(); workspace++) {
            FairnessLoad.Workspace sender = load.workspaces().get(workspace);
            int callers = (int) Math.ceil(sender.share() * CALLERS_PER_ENTRY * entries.size());
            int[] entryOfCaller = arrivalRandom.ints(callers, 0, entries.size()).toArray();
            for (Kind kind : Kind.values()) {
                addArrivals(workspace, kind, entryOfCaller);
            }
        }
    }

    private void addArrivals(int workspace, Kind kind, int[] entryOfCaller) {
        FairnessLoad.Workspace sender = load.workspaces().get(workspace);
        double mostPerSecond =
                sender.share() * load.usualPerSecond(kind) * Math.max(1, sender.burstFactor());
        double now = 0;
        while (now < 2 * CALM_MILLIS + load.burstMillis()) {
            now += -Math.log(1 - arrivalRandom.nextDouble()) * 1_000 / mostPerSecond;
            double factor = isMeasured((long) now) ? sender.burstFactor() : 1;
            if (arrivalRandom.nextDouble() * Math.max(1, sender.burstFactor()) >= factor) {
                continue;
            }
            Request request =
                    new Request(
                            workspace,
                            kind,
                            sender.firstPriority() + kind.ordinal(),
                            entryOfCaller[arrivalRandom.nextInt(entryOfCaller.length)],
                            2_400 + arrivalRandom.nextInt(1_600) + 67,
                            3_000 + arrivalRandom.nextInt(1_000),
                            (long) now);
            arrivals.add(new Attempt(request, request.firstMillis(), 1));
        }
    }

    private void endStreams(long now) {
        while (!streams.isEmpty() && streams.peek().endMillis() <= now) {
            Stream ended = streams.remove();
            freeTokens += ended.request().tokens();
            endNotices.add(new Stream(ended.request(), now + END_NOTICE_MILLIS));
        }
        while (!endNotices.isEmpty() && endNotices.peek().endMillis() <= now) {
            Request ended = endNotices.remove().request();
            Entry entry = entries.get(ended.entry());
            if (entry.queue.isYielding()) {
                entry.selector.recordYieldedRelease(POOL, ended.tokens());
            } else {
                entry.selector.recordRelease(POOL, ended.tokens());
            }
            entry.hasEvent = true;
        }
    }

    private void arrive(Attempt attempt, long now) {
        Request request = attempt.request();
        if (attempt.number() == 1 && isMeasured(request.firstMillis())) {
            report.of(request).recordArrival();
        }
        long giveUpMillis = now + request.kind().objectiveMillis - PREFILL_MILLIS;
        Entry entry = entries.get(request.entry());
        for (Attempt rejected : entry.queue.enqueue(attempt, giveUpMillis, now)) {
            if (isMeasured(rejected.request().firstMillis())) {
                report.of(rejected.request()).recordRejectedAtOnce();
            }
            reject(rejected, now);
        }
        entry.hasEvent = true;
    }

    private void reject(Attempt attempt, long now) {
        Request request = attempt.request();
        if (isMeasured(request.firstMillis())) {
            report.of(request).recordRejection();
        }
        load.workspaces()
                .get(request.workspace())
                .behavior()
                .returnMillis(
                        attempt.number(),
                        CALLER_DEADLINE_MILLIS - (now - request.firstMillis()),
                        random)
                .ifPresent(
                        millis ->
                                arrivals.add(
                                        new Attempt(request, now + millis, attempt.number() + 1)));
    }

    private void reserve(Entry entry, long now) {
        Optional<Attempt> first = entry.queue.peek();
        while (first.isPresent()
                && entry.selector.choose(List.of(POOL), Set.of(), health, false, now).isPresent()) {
            Request request = first.get().request();
            entry.selector.recordReservationRequest(POOL);
            entry.queue.take();
            if (request.tokens() + load.spareTokens() > freeTokens) {
                entry.selector.recordRefusal(POOL, entry.queue.requeue(), false, now);
                return;
            }
            entry.selector.recordReservation(POOL, request.tokens());
            entry.queue.recordGrant(now);
            freeTokens -= request.tokens();
            streams.add(new Stream(request, now + request.holdMillis()));
            if (isMeasured(now)) {
                report.recordGrantedTokens(request.tokens());
            }
            if (isMeasured(request.firstMillis())) {
                long firstEventMillis = now + PREFILL_MILLIS - request.firstMillis();
                boolean inTime = firstEventMillis <= request.kind().objectiveMillis;
                report.of(request).recordService(now - first.get().arrivedMillis(), inTime);
            }
            first = entry.queue.peek();
        }
    }

    /** An entry: its queue and what it knows about the pool. */
    private final class Entry {
        private final EntryQueue queue;
        private final long tickOffsetMillis;
        private final DecodeServerSelector selector =
                new DecodeServerSelector("a", random::nextDouble);
        private boolean hasEvent;

        Entry(EntryQueue queue, long tickOffsetMillis) {
            this.queue = queue;
            this.tickOffsetMillis = tickOffsetMillis;
        }
    }

    /** What both orders have in common. */
    private interface EntryQueue {
        /** Returns the rejected attempts, which may include the new one. */
        List<Attempt> enqueue(Attempt attempt, long giveUpMillis, long now);

        Optional<Attempt> peek();

        /** Takes the first request out. */
        void take();

        /** Puts the request back that was taken; returns the demand for the selector. */
        double requeue();

        void recordGrant(long now);

        List<Attempt> removeExpired(long now);

        boolean isYielding();
    }

    private static final class FairQueue implements EntryQueue {
        private final AdmissionQueue<Attempt> queue = new AdmissionQueue<>();
        private AdmissionQueue.Waiter<Attempt> taken;

        @Override
        public List<Attempt> enqueue(Attempt attempt, long giveUpMillis, long now) {
            Request request = attempt.request();
            Claim claim =
                    new Claim(
                            Optional.of("workspace-" + request.workspace()),
                            request.priority(),
                            false,
                            giveUpMillis,
                            request.tokens());
            Enqueued<Attempt> enqueued = queue.enqueue(attempt, claim, now);
            List<Attempt> rejected = new ArrayList<>(enqueued.rejected());
            if (enqueued.waiter().isEmpty()) {
                rejected.add(attempt);
            }
            return rejected;
        }

        @Override
        public Optional<Attempt> peek() {
            return queue.peek().map(AdmissionQueue.Waiter::item);
        }

        @Override
        public void take() {
            taken = queue.peek().orElseThrow();
            queue.take(taken);
        }

        @Override
        public double requeue() {
            double demand = queue.demand(taken);
            queue.requeue(taken);
            return demand;
        }

        @Override
        public void recordGrant(long now) {
            queue.recordGrant(now);
        }

        @Override
        public List<Attempt> removeExpired(long now) {
            return queue.removeExpired(now);
        }

        @Override
        public boolean isYielding() {
            return queue.isYielding();
        }
    }

    private static final class BaselineQueue implements EntryQueue {
        private final ArrivalOrderQueue<Attempt> queue = new ArrivalOrderQueue<>();
        private ArrivalOrderQueue.Waiter<Attempt> taken;

        @Override
        public List<Attempt> enqueue(Attempt attempt, long giveUpMillis, long now) {
            int priority = attempt.request().priority();
            return queue.enqueue(attempt, priority, false, giveUpMillis, now).isPresent()
                    ? List.of()
                    : List.of(attempt);
        }

        @Override
        public Optional<Attempt> peek() {
            return queue.peek().map(ArrivalOrderQueue.Waiter::item);
        }

        @Override
        public void take() {
            taken = queue.peek().orElseThrow();
            queue.remove(taken);
        }

        @Override
        public double requeue() {
            queue.requeue(taken);
            return queue.size();
        }

        @Override
        public void recordGrant(long now) {
            queue.recordGrant(now);
        }

        @Override
        public List<Attempt> removeExpired(long now) {
            return queue.removeExpired(now);
        }

        @Override
        public boolean isYielding() {
            return false;
        }
    }
}
