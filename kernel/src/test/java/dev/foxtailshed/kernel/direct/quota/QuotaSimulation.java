package dev.foxtailshed.kernel.direct.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * Simulates entries that exchange a workspace's credit, over a network that delays and loses
 * messages.
 *
 * <p>Time is simulated, and all randomness comes from the seed. Entries can be killed, started,
 * frozen and partitioned, and each has its own view of the members and of their number. A request
 * that needs a draw waits for its reply, a rejected one for the time that it is told, both for 300
 * ms in all, and is refused then. A frozen entry handles what came in the meantime when it resumes.
 * Not thread-safe.
 */
final class QuotaSimulation {

    static final String WORKSPACE = "workspace";

    private static final long PATIENCE_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 500;
    private static final long TICK_MILLIS = 50;

    final Random random;
    final List<Entry> entries = new ArrayList<>();
    final SpendLog spent = new SpendLog();
    double lossProbability;
    boolean waitsWhenRejected = true;
    boolean tellsEntryCount = true;
    long drawMessages;
    long collectMessages;
    long admitted;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final Map<String, Entry> byAddress = new HashMap<>();
    private final Set<String> isolated = new HashSet<>();
    private long nowMillis;
    private long order;

    private record Event(long atMillis, long order, Runnable action) {}

    /** A request that waits for credit. */
    private static final class Request {
        private final double tokens;
        private final long arrivedMillis;
        private final boolean isRefunded;

        Request(double tokens, long arrivedMillis, boolean isRefunded) {
            this.tokens = tokens;
            this.arrivedMillis = arrivedMillis;
            this.isRefunded = isRefunded;
        }
    }

    /** An entry; what it had is lost when it is killed. */
    final class Entry {
        final String address;
        private final Deque<Runnable> deferred = new ArrayDeque<>();
        QuotaAccounts accounts;
        List<String> members = List.of();
        OptionalInt count = OptionalInt.empty();
        Map<String, TokenQuota> quotas = Map.of();
        QuotaBounds bounds;
        private final Set<Request> waiting = new LinkedHashSet<>();
        private boolean isAlive;
        private boolean isFrozen;
        private int incarnation;
        private long retryMillis;
        private boolean isDrawing;

        Entry(String address, QuotaBounds bounds) {
            this.address = address;
            this.bounds = bounds;
        }

        boolean isFrozen() {
            return isFrozen;
        }

        boolean isAlive() {
            return isAlive;
        }

        /** Starts a new process. */
        void start() {
            isAlive = true;
            incarnation++;
            accounts = new QuotaAccounts(address);
            waiting.clear();
            deferred.clear();
            isDrawing = false;
            configure();
            tick(incarnation, random.nextInt((int) TICK_MILLIS));
        }

        void kill() {
            isAlive = false;
            isFrozen = false;
            incarnation++;
            deferred.clear();
        }

        void freeze(long forMillis) {
            isFrozen = true;
            int frozen = incarnation;
            schedule(
                    forMillis,
                    () -> {
                        if (incarnation == frozen) {
                            isFrozen = false;
                            List<Runnable> actions = List.copyOf(deferred);
                            deferred.clear();
                            actions.forEach(Runnable::run);
                        }
                    });
        }

        /** Tells the accounts the entry's current view. */
        void configure() {
            run(incarnation, () -> accounts.configure(quotas, bounds, count, members, nowMillis));
        }

        /** Handles a request of a caller that is connected to this entry. */
        void request(double tokens, boolean isRefunded) {
            if (!isAlive) {
                return;
            }
            Request request = new Request(tokens, nowMillis, isRefunded);
            run(
                    incarnation,
                    () -> {
                        if (!attempt(request)) {
                            waiting.add(request);
                            later(incarnation, PATIENCE_MILLIS, () -> waiting.remove(request));
                        }
                    });
        }

        /** Returns whether the request is done with, admitted or not. */
        private boolean attempt(Request request) {
            Decision decision = accounts.spend(WORKSPACE, request.tokens, nowMillis);
            switch (decision.outcome()) {
                case ADMITTED -> {
                    admit(request);
                    return true;
                }
                case DRAW -> {
                    if (!isDrawing) {
                        draw(request);
                    }
                    return false;
                }
                default -> {
                    sendCollects();
                    long waitedMillis = nowMillis - request.arrivedMillis;
                    if (!waitsWhenRejected
                            || waitedMillis + decision.creditAfterMillis() > PATIENCE_MILLIS) {
                        return true;
                    }
                    retryAfter(decision.creditAfterMillis());
                    return false;
                }
            }
        }

        private void admit(Request request) {
            if (request.isRefunded) {
                later(
                        incarnation,
                        1 + random.nextInt(50),
                        () -> accounts.refund(WORKSPACE, request.tokens, nowMillis));
            } else {
                admitted++;
                spent.add(nowMillis, request.tokens);
            }
        }

        /** Retries all waiting requests after a while, or earlier if that is scheduled. */
        private void retryAfter(long delayMillis) {
            if (retryMillis <= nowMillis || nowMillis + delayMillis < retryMillis) {
                retryMillis = nowMillis + delayMillis;
                later(incarnation, delayMillis, this::retryWaiting);
            }
        }

        private void retryWaiting() {
            for (Request request : List.copyOf(waiting)) {
                if (attempt(request)) {
                    waiting.remove(request);
                }
            }
        }

        private void draw(Request request) {
            double all =
                    waiting.stream()
                            .filter(other -> other != request)
                            .mapToDouble(other -> other.tokens)
                            .sum();
            accounts.nextDraw(WORKSPACE, request.tokens, request.tokens + all, nowMillis)
                    .ifPresent(this::send);
        }

        private void send(Draw draw) {
            drawMessages++;
            isDrawing = true;
            int sender = incarnation;
            boolean[] done = {false};
            later(
                    sender,
                    TIMEOUT_MILLIS,
                    () -> {
                        if (!done[0]) {
                            done[0] = true;
                            isDrawing = false;
                            accounts.onDrawLost(draw, nowMillis);
                            retryWaiting();
                        }
                    });
            Entry home = byAddress.get(draw.home());
            deliver(
                    this,
                    home,
                    home.incarnation,
                    at -> {
                        DrawReply reply =
                                home.accounts.onDraw(
                                        WORKSPACE, draw.neededTokens(), draw.wantedTokens(), at);
                        home.sendCollects();
                        deliver(
                                home,
                                this,
                                sender,
                                later -> {
                                    // A reply after the time-out reaches the accounts, too.
                                    isDrawing &= done[0];
                                    done[0] = true;
                                    accounts.onDrawReply(draw, reply, later);
                                    retryWaiting();
                                });
                    });
        }

        private void sendCollects() {
            for (Collect collect : accounts.nextCollects(nowMillis)) {
                collectMessages++;
                int sender = incarnation;
                boolean[] done = {false};
                later(
                        sender,
                        TIMEOUT_MILLIS,
                        () -> {
                            if (!done[0]) {
                                done[0] = true;
                                accounts.onCollectLost(collect, nowMillis);
                            }
                        });
                Entry peer = byAddress.get(collect.peer());
                deliver(
                        this,
                        peer,
                        peer.incarnation,
                        at -> {
                            Map<String, Double> tokens =
                                    peer.accounts.onCollect(collect.workspaces(), at);
                            deliver(
                                    peer,
                                    this,
                                    sender,
                                    later -> {
                                        done[0] = true;
                                        accounts.onCollectReply(collect, tokens, later);
                                        retryWaiting();
                                    });
                        });
            }
        }

        private void tick(int expected, long delayMillis) {
            later(
                    expected,
                    delayMillis,
                    () -> {
                        sendCollects();
                        tick(expected, TICK_MILLIS);
                    });
        }

        private void later(int expected, long delayMillis, Runnable action) {
            schedule(delayMillis, () -> run(expected, action));
        }

        /** Runs an action in a process, when it is not frozen. */
        private void run(int expected, Runnable action) {
            if (isAlive && incarnation == expected) {
                if (isFrozen) {
                    deferred.add(() -> run(expected, action));
                } else {
                    action.run();
                }
            }
        }
    }

    QuotaSimulation(long seed) {
        random = new Random(seed);
    }

    /** Creates entries that agree on the members, and starts them. */
    static QuotaSimulation started(long seed, int entries, TokenQuota quota, QuotaBounds bounds) {
        QuotaSimulation simulation = new QuotaSimulation(seed);
        for (int i = 0; i < entries; i++) {
            simulation.add(bounds).quotas = Map.of(WORKSPACE, quota);
        }
        simulation.agree();
        simulation.entries.forEach(Entry::start);
        return simulation;
    }

    /** Creates an entry without starting it. */
    Entry add(QuotaBounds bounds) {
        Entry entry = new Entry("10.0.0." + entries.size() + ":7000", bounds);
        entries.add(entry);
        byAddress.put(entry.address, entry);
        return entry;
    }

    /** Sets the view of all entries to all entries; they are not told yet. */
    void agree() {
        List<String> all = entries.stream().map(entry -> entry.address).toList();
        for (Entry entry : entries) {
            entry.members = all;
            entry.count = OptionalInt.of(all.size());
        }
    }

    /** Cuts entries off from the others; they still reach each other. */
    void isolate(List<Entry> side) {
        isolated.clear();
        side.forEach(entry -> isolated.add(entry.address));
    }

    long now() {
        return nowMillis;
    }

    /** Calls an action with exponential gaps, until a time. */
    void repeat(double perSecond, long endMillis, Runnable action) {
        repeat(perSecond, nowMillis, endMillis, action);
    }

    private void repeat(double perSecond, double lastMillis, long endMillis, Runnable action) {
        double nextMillis = lastMillis - Math.log(1 - random.nextDouble()) / perSecond * 1_000;
        if (nextMillis < endMillis) {
            schedule(
                    (long) nextMillis - nowMillis,
                    () -> {
                        action.run();
                        repeat(perSecond, nextMillis, endMillis, action);
                    });
        }
    }

    void schedule(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, order++, action));
    }

    /** Runs up to a time. */
    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis <= endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis;
            event.action.run();
        }
        nowMillis = endMillis;
    }

    /** Sends a message to a process, with the number of entries that the sender knows. */
    private void deliver(Entry from, Entry to, int incarnation, LongConsumer action) {
        boolean isLost = random.nextDouble() < lossProbability;
        Optional<KnownEntryCount> known =
                tellsEntryCount ? from.accounts.knownEntryCount(nowMillis) : Optional.empty();
        schedule(
                1 + random.nextInt(3),
                () -> {
                    boolean isCut =
                            isolated.contains(from.address) != isolated.contains(to.address);
                    if (!isLost && !isCut) {
                        to.run(
                                incarnation,
                                () -> {
                                    known.ifPresent(
                                            count ->
                                                    to.accounts.onKnownEntryCount(
                                                            count, nowMillis));
                                    action.accept(nowMillis);
                                });
                    }
                });
    }
}
