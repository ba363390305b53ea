package dev.foxtailshed.kernel.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The order and the rejections of {@link AdmissionQueue} before it had workspaces: priority, then
 * arrival. The baseline of the replays, and what deployments without workspaces must still get.
 *
 * @param <T> the type of the queued items
 */
final class ArrivalOrderQueue<T> {

    private static final double SAMPLE_WEIGHT = 0.125;
    private static final long MAXIMUM_INTERVAL_MILLIS = 1_000;

    private static final Comparator<Waiter<?>> ORDER =
            Comparator.<Waiter<?>>comparingInt(waiter -> waiter.late ? 1 : 0)
                    .thenComparingInt(waiter -> waiter.priority)
                    .thenComparingLong(waiter -> waiter.sequence);

    private final List<Waiter<T>> waiters = new ArrayList<>();
    private long nextSequence;
    private long lastGrantMillis = Long.MIN_VALUE;
    private double grantIntervalMillis;

    /** A queued request. */
    record Waiter<T>(T item, int priority, boolean late, long giveUpMillis, long sequence) {}

    Optional<Waiter<T>> enqueue(
            T item, int priority, boolean late, long giveUpMillis, long nowMillis) {
        Waiter<T> waiter = new Waiter<>(item, priority, late, giveUpMillis, nextSequence++);
        long ahead = waiters.stream().filter(other -> ORDER.compare(other, waiter) < 0).count();
        if (ahead > 0 && nowMillis + ahead * grantIntervalMillis > giveUpMillis) {
            return Optional.empty();
        }
        requeue(waiter);
        return Optional.of(waiter);
    }

    void requeue(Waiter<T> waiter) {
        waiters.add(waiter);
        waiters.sort(ORDER);
    }

    Optional<Waiter<T>> peek() {
        return waiters.stream().findFirst();
    }

    boolean remove(Waiter<T> waiter) {
        return waiters.remove(waiter);
    }

    void recordGrant(long nowMillis) {
        long intervalMillis = nowMillis - lastGrantMillis;
        if (lastGrantMillis != Long.MIN_VALUE && intervalMillis <= MAXIMUM_INTERVAL_MILLIS) {
            grantIntervalMillis += SAMPLE_WEIGHT * (intervalMillis - grantIntervalMillis);
        }
        lastGrantMillis = nowMillis;
    }

    List<T> removeExpired(long nowMillis) {
        List<Waiter<T>> expired =
                waiters.stream().filter(waiter -> waiter.giveUpMillis() <= nowMillis).toList();
        waiters.removeAll(expired);
        return expired.stream().map(Waiter::item).toList();
    }

    long drainMillis() {
        return (long) (waiters.size() * grantIntervalMillis);
    }

    int size() {
        return waiters.size();
    }
}
