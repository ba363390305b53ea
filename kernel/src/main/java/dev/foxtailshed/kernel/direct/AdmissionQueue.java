package dev.foxtailshed.kernel.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Orders the requests that wait for decode capacity, and rejects those that cannot be served in
 * time.
 *
 * <p>Answers bursts above the pool's capacity. Served first come first served, such a burst makes
 * every request late. So those that can still meet their objective come first, by priority and then
 * by arrival; late ones follow. A request is refused on arrival when the queue ahead of it takes
 * longer than it can wait, and while waiting as soon as its time is up. Size plays no part, so that
 * large requests are not overtaken for ever by small ones. Not thread-safe.
 *
 * @param <T> what waits
 */
public final class AdmissionQueue<T> {

    /** Weight of the newest interval between two grants: about the last eight count. */
    private static final double SAMPLE_WEIGHT = 0.125;

    /** Intervals above this were idle time, not a full pool. */
    private static final long LONGEST_INTERVAL_MILLIS = 1_000;

    private static final Comparator<Waiter<?>> ORDER =
            Comparator.<Waiter<?>>comparingInt(waiter -> waiter.late ? 1 : 0)
                    .thenComparingInt(waiter -> waiter.priority)
                    .thenComparingLong(waiter -> waiter.sequence);

    private final List<Waiter<T>> waiters = new ArrayList<>();
    private long nextSequence;
    private long lastGrantMillis = Long.MIN_VALUE;
    private double grantIntervalMillis;

    /**
     * A request in the queue.
     *
     * @param <T> what waits
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
         * Tells whether the request had missed its objective when it joined.
         *
         * @return true for late requests
         */
        public boolean isLate() {
            return late;
        }

        /**
         * Returns what waits.
         *
         * @return the item
         */
        public T item() {
            return item;
        }
    }

    /**
     * Lets a request wait, unless it cannot be served in time.
     *
     * @param item what waits
     * @param priority its rank, 0 is the most urgent
     * @param late whether it has missed its objective already
     * @param giveUpMillis when waiting longer serves nobody
     * @param nowMillis the time
     * @return the place in the queue, or nothing if the request should be refused at once
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
     * Puts a request back to the place in the order that it had.
     *
     * @param waiter its place
     */
    public void requeue(Waiter<T> waiter) {
        waiters.add(waiter);
        waiters.sort(ORDER);
    }

    /**
     * Returns the request that gets the next reservation.
     *
     * @return the first in the queue
     */
    public Optional<Waiter<T>> peek() {
        return waiters.stream().findFirst();
    }

    /**
     * Takes a request out of the queue.
     *
     * @param waiter its place
     * @return false if it was out already
     */
    public boolean remove(Waiter<T> waiter) {
        return waiters.remove(waiter);
    }

    /**
     * Notes that a waiting request got its reservation.
     *
     * @param nowMillis the time
     */
    public void recordGrant(long nowMillis) {
        long interval = nowMillis - lastGrantMillis;
        if (lastGrantMillis != Long.MIN_VALUE && interval <= LONGEST_INTERVAL_MILLIS) {
            grantIntervalMillis += SAMPLE_WEIGHT * (interval - grantIntervalMillis);
        }
        lastGrantMillis = nowMillis;
    }

    /**
     * Takes out the requests whose time is up.
     *
     * @param nowMillis the time
     * @return what was removed
     */
    public List<T> removeExpired(long nowMillis) {
        List<T> expired = new ArrayList<>();
        waiters.removeIf(
                waiter -> {
                    boolean up = waiter.giveUpMillis <= nowMillis;
                    if (up) {
                        expired.add(waiter.item);
                    }
                    return up;
                });
        return expired;
    }

    /**
     * Estimates when a refused request would find capacity.
     *
     * @return the time that the queue needs to empty
     */
    public long drainMillis() {
        return (long) (waiters.size() * grantIntervalMillis);
    }

    /**
     * Returns the length of the queue.
     *
     * @return the requests waiting
     */
    public int size() {
        return waiters.size();
    }
}
