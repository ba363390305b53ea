package dev.foxtailshed.daemon.internal.events;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds how many lines each event may write in a second.
 *
 * <p>Lines beyond the limit are counted, and the event's next line tells how many there were.
 * Failed requests have a limit of their own, so that a flood of other events does not hide them.
 * Thread-safe.
 */
final class EventRate {

    /** Lines of one event in a second; above this, single lines no longer tell more. */
    static final long LINES_PER_SECOND = 200;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Map<EventCode, Window> windows = new EnumMap<>(EventCode.class);

    EventRate() {
        for (EventCode code : EventCode.values()) {
            windows.put(code, new Window());
        }
    }

    /**
     * Asks whether a line may be written.
     *
     * @param code the event
     * @param nowNanos the time
     * @return how many lines were suppressed before it, or -1 if this one is suppressed as well
     */
    long admit(EventCode code, long nowNanos) {
        return windows.get(code).admit(nowNanos / NANOS_PER_SECOND);
    }

    /** The lines of one event in the current second. */
    private static final class Window {
        private final AtomicLong second = new AtomicLong(Long.MIN_VALUE);
        private final AtomicLong lines = new AtomicLong();
        private final AtomicLong suppressed = new AtomicLong();

        long admit(long now) {
            long before = second.get();
            if (before != now && second.compareAndSet(before, now)) {
                lines.set(0);
            }
            if (lines.incrementAndGet() > LINES_PER_SECOND) {
                suppressed.incrementAndGet();
                return -1;
            }
            return suppressed.getAndSet(0);
        }
    }
}
