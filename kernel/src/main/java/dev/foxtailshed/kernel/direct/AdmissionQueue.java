package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.WorkspaceShares.Charge;
import dev.foxtailshed.kernel.direct.WorkspaceShares.Flow;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Orders the requests that wait for capacity and rejects those that cannot be served in time.
 *
 * <p>Under first-come-first-served order, a burst above the pool's capacity makes every request
 * late. Requests that can still meet their latency objective therefore come first, by priority, and
 * late requests follow. A request is rejected on arrival if serving the queue ahead of it takes
 * longer than it can wait, and removed from the queue as soon as its wait limit passes.
 *
 * <p>Where requests have workspaces, a burst of one of them must not displace the others. Inside a
 * priority, workspaces then share capacity equally, in tokens, however many requests they send and
 * however soon they return after a rejection; see {@link WorkspaceShares}. The requests of a
 * workspace that sends more than its share are last, wait longest, and are rejected as soon as
 * requests that come before them leave no time. A workspace or priority that is served much more
 * rarely than all requests are gets a turn: its first request comes before the others that are in
 * time.
 *
 * <p>Without workspaces, requests of equal priority are served by arrival and there are no turns.
 * Requests without a workspace share as one workspace if there are others. Not thread-safe.
 *
 * @param <T> the type of the queued items
 */
public final class AdmissionQueue<T> {

    /** Weight of the newest interval between two grants: averages about the last eight. */
    private static final double SAMPLE_WEIGHT = 0.125;

    /** Longer intervals mean that the queue was idle, not that the pool was full. */
    private static final long MAXIMUM_INTERVAL_MILLIS = 1_000;

    /**
     * Factor on the expected wait of queued requests. The average of about eight random intervals
     * is often wrong by a quarter, and a queued request is checked many times.
     */
    private static final double REJECTION_CONFIDENCE = 0.75;

    /** Demand of a request of the highest urgency: the shortest pause between two calls. */
    private static final double URGENT_DEMAND = 6;

    /**
     * Demand of other requests where there are some of higher urgency. An entry with an urgent
     * request competes with all the entries that have only other ones: with 1 in place of 0.5, 43 %
     * of the urgent streams were served at 28 entries whose pool was overloaded 2.3 times, and 46 %
     * of the patient ones; with 0.5, 61 % and 45 %.
     */
    private static final double LESS_URGENT_DEMAND = 0.5;

    private static final Comparator<Waiter<?>> ORDER =
            Comparator.<Waiter<?>>comparingInt(waiter -> waiter.claim.late() ? 1 : 0)
                    .thenComparingInt(waiter -> waiter.hasTurn ? 0 : 1)
                    .thenComparingInt(waiter -> waiter.claim.priority())
                    .thenComparingLong(waiter -> waiter.tag)
                    .thenComparingLong(waiter -> waiter.sequence);

    private final List<Waiter<T>> waiters = new ArrayList<>();
    private final WorkspaceShares shares = new WorkspaceShares();
    private long nextSequence;
    private long lastGrantMillis = Long.MIN_VALUE;
    private double grantIntervalMillis;

    /**
     * A request for capacity.
     *
     * @param workspace the name of the workspace that sent the request, if any
     * @param priority the priority; 0 is the most urgent
     * @param late whether the request has already missed its latency objective
     * @param giveUpMillis the time at which the request leaves the queue unserved
     * @param tokens the capacity that the request needs
     */
    public record Claim(
            Optional<String> workspace,
            int priority,
            boolean late,
            long giveUpMillis,
            long tokens) {}

    /**
     * The result of adding a request.
     *
     * @param waiter the queued request, or empty if it must be rejected
     * @param rejected the requests that have left the queue because the new one comes before them
     *     and they can no longer be served in time
     * @param <T> the type of the queued items
     */
    public record Enqueued<T>(Optional<Waiter<T>> waiter, List<T> rejected) {}

    /**
     * A queued request.
     *
     * @param <T> the type of the queued item
     */
    public static final class Waiter<T> {
        private final T item;
        private final Claim claim;
        private final Flow flow;
        private final long sequence;
        private long tag;
        private boolean hasTurn;
        private boolean taken;
        private Optional<Charge> charge = Optional.empty();

        private Waiter(T item, Claim claim, Flow flow, long tag, long sequence) {
            this.item = item;
            this.claim = claim;
            this.flow = flow;
            this.tag = tag;
            this.sequence = sequence;
        }

        /**
         * Returns whether the request had already missed its latency objective when it was queued.
         *
         * @return true for late requests
         */
        public boolean isLate() {
            return claim.late();
        }

        /**
         * Returns the queued item.
         *
         * @return the item
         */
        public T item() {
            return item;
        }

        /** Returns whether the request goes before any others, at this entry or elsewhere. */
        private boolean isMostUrgent() {
            return !claim.late() && (hasTurn || claim.priority() == 0);
        }

        private boolean isBehind(Waiter<T> other) {
            return flow == other.flow && sequence > other.sequence;
        }
    }

    /**
     * Adds a request unless it cannot be served in time.
     *
     * @param item the item to queue
     * @param claim the capacity that the item needs
     * @param nowMillis the current time
     * @return the queued request, if any, and the requests that are rejected in its favor
     */
    public Enqueued<T> enqueue(T item, Claim claim, long nowMillis) {
        Flow flow = shares.flow(claim, nowMillis);
        long tag = shares.assignTag(flow, claim.tokens());
        Waiter<T> waiter = new Waiter<>(item, claim, flow, tag, nextSequence++);
        add(waiter);
        if (shares.hasWorkspaces()) {
            giveDueTurns(waiter);
            return rejectUnservable(waiter, nowMillis);
        }
        int ahead = waiters.indexOf(waiter);
        if (!isServable(waiter, ahead, grantIntervalMillis, nowMillis)) {
            remove(waiter);
            return new Enqueued<>(Optional.empty(), List.of());
        }
        return new Enqueued<>(Optional.of(waiter), List.of());
    }

    private void add(Waiter<T> waiter) {
        shares.recordWaiting(waiter.flow);
        waiters.add(waiter);
        waiters.sort(ORDER);
    }

    private static boolean isServable(
            Waiter<?> waiter, int ahead, double intervalMillis, long nowMillis) {
        return ahead == 0 || nowMillis + ahead * intervalMillis <= waiter.claim.giveUpMillis();
    }

    /** Gives turns that are due to the arrived request's workspace and priority. */
    private void giveDueTurns(Waiter<T> arrived) {
        if (arrived.isLate()) {
            return;
        }
        shares.recordArrival(arrived.flow, arrived.claim.tokens());
        firstWithoutTurn(waiter -> waiter.flow == arrived.flow)
                .filter(first -> shares.isTurnDueToFlow(first.flow, first.claim.tokens()))
                .ifPresent(this::giveTurn);
        firstWithoutTurn(waiter -> waiter.flow.isSameLevel(arrived.flow))
                .filter(first -> shares.isTurnDueToLevel(first.flow, first.claim.tokens()))
                .ifPresent(this::giveTurn);
    }

    private Optional<Waiter<T>> firstWithoutTurn(Predicate<Waiter<T>> predicate) {
        return waiters.stream().filter(waiter -> !waiter.hasTurn).filter(predicate).findFirst();
    }

    private void giveTurn(Waiter<T> waiter) {
        waiter.hasTurn = true;
        waiter.charge = Optional.of(shares.charge(waiter.flow, waiter.claim.tokens()));
        waiters.sort(ORDER);
    }

    /**
     * Rejects what can no longer be served in time because of an arrival: the arrived request, or
     * requests behind it. Requests that will not be served do not delay those behind them.
     */
    private Enqueued<T> rejectUnservable(Waiter<T> arrived, long nowMillis) {
        List<T> rejected = new ArrayList<>();
        int ahead = 0;
        double intervalMillis = grantIntervalMillis;
        boolean isBehindArrived = false;
        for (Waiter<T> waiter : List.copyOf(waiters)) {
            boolean servable = isServable(waiter, ahead, intervalMillis, nowMillis);
            if (servable) {
                ahead++;
            } else if (waiter == arrived) {
                remove(waiter);
                return new Enqueued<>(Optional.empty(), List.of());
            } else if (isBehindArrived) {
                remove(waiter);
                rejected.add(waiter.item);
            }
            if (waiter == arrived) {
                isBehindArrived = true;
                intervalMillis *= REJECTION_CONFIDENCE;
            }
        }
        return new Enqueued<>(Optional.of(arrived), rejected);
    }

    /**
     * Takes a request out of the queue to reserve capacity for it. Then {@link #recordGrant} must
     * be called, {@link #requeue} or {@link #remove}.
     *
     * @param waiter the queued request
     */
    public void take(Waiter<T> waiter) {
        waiters.remove(waiter);
        shares.recordNotWaiting(waiter.flow);
        waiter.taken = true;
        if (!waiter.hasTurn) {
            shares.advance(waiter.flow, waiter.tag);
            waiter.charge = Optional.of(shares.charge(waiter.flow, waiter.claim.tokens()));
        }
        if (!waiter.isLate()) {
            shares.recordServed(waiter.claim.tokens());
        }
    }

    /**
     * Returns a request that was taken to its previous position.
     *
     * @param waiter the request
     */
    public void requeue(Waiter<T> waiter) {
        undoTake(waiter);
        add(waiter);
    }

    private void undoTake(Waiter<T> waiter) {
        if (!waiter.taken) {
            return;
        }
        waiter.taken = false;
        if (!waiter.hasTurn) {
            refund(waiter);
        }
        if (!waiter.isLate()) {
            shares.recordServed(-waiter.claim.tokens());
        }
    }

    private void refund(Waiter<T> waiter) {
        waiter.charge.ifPresent(charge -> shares.refund(waiter.flow, charge));
        waiter.charge = Optional.empty();
    }

    /**
     * Returns the request that gets the next reservation.
     *
     * @return the first queued request, or empty if none waits
     */
    public Optional<Waiter<T>> peek() {
        return waiters.stream().findFirst();
    }

    /**
     * Removes a request that ends unserved, in the queue or after it was taken.
     *
     * @param waiter the request
     * @return false if it was not in the queue
     */
    public boolean remove(Waiter<T> waiter) {
        boolean queued = waiters.remove(waiter);
        if (!queued && !waiter.taken) {
            return false;
        }
        if (queued) {
            shares.recordNotWaiting(waiter.flow);
        }
        undoTake(waiter);
        refund(waiter);
        long tokens = waiter.claim.tokens();
        shares.recordUnserved(waiter.flow, tokens);
        waiters.stream()
                .filter(other -> other.isBehind(waiter))
                .forEach(other -> other.tag = shares.tagWithout(other.flow, other.tag, tokens));
        waiters.sort(ORDER);
        return queued;
    }

    /**
     * Records that a queued request got its reservation.
     *
     * @param nowMillis the current time
     */
    public void recordGrant(long nowMillis) {
        long intervalMillis = nowMillis - lastGrantMillis;
        if (lastGrantMillis != Long.MIN_VALUE && intervalMillis <= MAXIMUM_INTERVAL_MILLIS) {
            grantIntervalMillis += SAMPLE_WEIGHT * (intervalMillis - grantIntervalMillis);
        }
        lastGrantMillis = nowMillis;
    }

    /**
     * Removes the requests whose wait limit has passed.
     *
     * @param nowMillis the current time
     * @return the removed items
     */
    public List<T> removeExpired(long nowMillis) {
        return removeAll(waiter -> waiter.claim.giveUpMillis() <= nowMillis);
    }

    /**
     * Removes all requests.
     *
     * @return the removed items
     */
    public List<T> removeAll() {
        return removeAll(waiter -> true);
    }

    private List<T> removeAll(Predicate<Waiter<T>> predicate) {
        List<Waiter<T>> removed = waiters.stream().filter(predicate).toList();
        removed.forEach(this::remove);
        return removed.stream().map(Waiter::item).toList();
    }

    /**
     * Returns how strongly a refused request competes for a full server.
     *
     * <p>Entries that share a pool get freed capacity in proportion to how often they ask. Without
     * workspaces, the demand is the number of requests that wait. Otherwise a workspace's entry
     * must not get more by sending more, so that workspaces are counted, and the more urgent the
     * refused request, the greater the demand.
     *
     * @param refused the refused request, which is not in the queue
     * @return the demand, 1 for a single request without workspace
     */
    public double demand(Waiter<T> refused) {
        if (!shares.hasWorkspaces()) {
            return waiters.size() + 1;
        }
        int flows = shares.waitingFlowsWith(refused.flow);
        if (!shares.hasLessUrgentWorkspaces()) {
            return flows;
        }
        return flows * (refused.isMostUrgent() ? URGENT_DEMAND : LESS_URGENT_DEMAND);
    }

    /**
     * Returns whether capacity that this entry frees is left to whoever asks for it next, since
     * more urgent requests may wait at other entries.
     *
     * @return true if workspaces compete and the first request is not of the highest urgency
     */
    public boolean isYielding() {
        return shares.hasWorkspaces() && peek().filter(first -> !first.isMostUrgent()).isPresent();
    }

    /**
     * Estimates how long the queue takes to empty, after which a rejected request may find
     * capacity.
     *
     * @return the time in milliseconds
     */
    public long drainMillis() {
        return (long) (waiters.size() * grantIntervalMillis);
    }

    /**
     * Returns the length of the queue.
     *
     * @return the number of queued requests
     */
    public int size() {
        return waiters.size();
    }
}
