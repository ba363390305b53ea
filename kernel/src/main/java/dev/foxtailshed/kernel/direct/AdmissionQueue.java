package dev.foxtailshed.kernel.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Orders the requests that wait for decode capacity and rejects those that cannot be served in
 * time.
 *
 * <p>Under first-come-first-served order, a burst above the pool's capacity makes every request
 * late. Requests that can still meet their latency objective therefore come first, by priority and
 * then by arrival; late requests follow. A request is rejected on arrival if serving the queue
 * ahead of it takes longer than it can wait, and removed from the queue as soon as its wait limit
 * passes. Request size does not affect the order, so that small requests cannot starve large ones.
 * Not thread-safe.
 *
 * @param <T> the type of the queued items
 */
public final class AdmissionQueue<T> {

    /** Weight of the newest interval between two grants: averages about the last eight. */
    private static final double SAMPLE_WEIGHT = 0.125;

    /** Longer intervals mean that the queue was idle, not that the pool was full. */
    private static final long MAXIMUM_INTERVAL_MILLIS = 1_000;

    private static final Comparator<Waiter<?>> ORDER =
            Comparator.<Waiter<?>>comparingInt(waiter -> waiter.late ? 1 : 0)
                    .thenComparingInt(waiter -> waiter.priority)
                    .thenComparingLong(waiter -> waiter.sequence);

    private final List<Waiter<T>> waiters = new ArrayList<>();
    private long nextSequence;
    private long lastGrantMillis = Long.MIN_VALUE;
    private double grantIntervalMillis;

    /**
     * A queued request.
     *
     * @param <T> the type of the queued item
     */
    public static final class Waiter<T> {
        private final T item;
        private final int priority;
        private final boolean late;
        private final long giveUpMillis;
        private final long sequence;

        private Waiter(T item, int priority, boolean late, long giveUpMillis, long sequence) {
            this.item = item;
            this.priority = priority;
            this.late = late;
            this.giveUpMillis = giveUpMillis;
            this.sequence = sequence;
        }

        /**
         * Returns whether the request had already missed its latency objective when it was queued.
         *
         * @return true for late requests
         */
        public boolean isLate() {
            return late;
        }

        /**
         * Returns the queued item.
         *
         * @return the item
         */
        public T item() {
            return item;
        }
    }

    /**
     * Adds a request unless it cannot be served in time.
     *
     * @param item the item to queue
     * @param priority the priority; 0 is the most urgent
     * @param late whether the request has already missed its latency objective
     * @param giveUpMillis the time at which the request leaves the queue unserved
     * @param nowMillis the current time
     * @return the queued request, or empty if it must be rejected
     */
    public Optional<Waiter<T>> enqueue(
            T item, int priority, boolean late, long giveUpMillis, long nowMillis) {
        Waiter<T> waiter = new Waiter<>(item, priority, late, giveUpMillis, nextSequence++);
        long ahead = waiters.stream().filter(other -> ORDER.compare(other, waiter) < 0).count();
        if (ahead > 0 && nowMillis + ahead * grantIntervalMillis > giveUpMillis) {
            return Optional.empty();
        }
        waiters.add(waiter);
        waiters.sort(ORDER);
        return Optional.of(waiter);
    }

    /**
     * Returns a removed request to its previous position.
     *
     * @param waiter the queued request
     */
    public void requeue(Waiter<T> waiter) {
        waiters.add(waiter);
        waiters.sort(ORDER);
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
     * Removes a request from the queue.
     *
     * @param waiter the queued request
     * @return false if it was not in the queue
     */
    public boolean remove(Waiter<T> waiter) {
        return waiters.remove(waiter);
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
        List<T> expired = new ArrayList<>();
        waiters.removeIf(
                waiter -> {
                    boolean isExpired = waiter.giveUpMillis <= nowMillis;
                    if (isExpired) {
                        expired.add(waiter.item);
                    }
                    return isExpired;
                });
        return expired;
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
