package dev.foxtailshed.kernel;

import java.util.Comparator;
import java.util.Objects;
import java.util.PriorityQueue;

/**
 * A timer service whose time only advances by calls to {@link #advance}.
 *
 * <p>Example: <code>timer.once(50, task); timer.advance(50);</code> runs the task. Tasks due at the
 * same time run in the order in which they were added. Not thread-safe: intended for tests and
 * seeded simulations.
 */
public final class SteppedTimerService implements TimerService {

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(
                    Comparator.comparingLong((Entry e) -> e.dueMillis)
                            .thenComparingLong(e -> e.order));
    private long nowMillis;
    private long nextOrder;

    @Override
    public long nowMillis() {
        return nowMillis;
    }

    @Override
    public Subscription once(long delayMillis, Runnable task) {
        return add(delayMillis, 0, task);
    }

    @Override
    public Subscription every(long periodMillis, Runnable task) {
        if (periodMillis <= 0) {
            throw new IllegalArgumentException("periodMillis must be positive: " + periodMillis);
        }
        return add(periodMillis, periodMillis, task);
    }

    /**
     * Advances the time and runs every task that becomes due.
     *
     * @param millis the duration in milliseconds
     */
    public void advance(long millis) {
        long endMillis = nowMillis + millis;
        while (!entries.isEmpty() && entries.peek().dueMillis <= endMillis) {
            Entry entry = entries.poll();
            if (entry.cancelled) {
                continue;
            }
            nowMillis = entry.dueMillis;
            if (entry.periodMillis > 0) {
                entry.dueMillis += entry.periodMillis;
                entries.add(entry);
            }
            entry.task.run();
        }
        nowMillis = endMillis;
    }

    private Subscription add(long delayMillis, long periodMillis, Runnable task) {
        Objects.requireNonNull(task, "task");
        if (delayMillis < 0) {
            throw new IllegalArgumentException("delayMillis must not be negative: " + delayMillis);
        }
        Entry entry = new Entry(nowMillis + delayMillis, periodMillis, nextOrder++, task);
        entries.add(entry);
        return entry;
    }

    private static final class Entry implements Subscription {
        private final long periodMillis;
        private final long order;
        private final Runnable task;
        private long dueMillis;
        private boolean cancelled;

        Entry(long dueMillis, long periodMillis, long order, Runnable task) {
            this.dueMillis = dueMillis;
            this.periodMillis = periodMillis;
            this.order = order;
            this.task = task;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }
}
