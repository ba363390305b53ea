package dev.foxtailshed.daemon.internal.events;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the number of lines that each event may write in a second.
 *
 * <p>Lines beyond the limit are counted, and the event's next line reports how many were
 * suppressed. Each event has its own limit, so that a flood of one event does not hide others, such
 * as failed requests. Thread-safe.
 */
final class EventRateLimiter {

    /** Lines of one event in a second; beyond this, further lines add no information. */
    static final long LINES_PER_SECOND = 200;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Map<EventCode, Window> windows = new EnumMap<>(EventCode.class);

    EventRateLimiter() {
        for (EventCode code : EventCode.values()) {
            windows.put(code, new Window());
        }
    }

    /**
     * Counts a line of an event and returns whether it may be written.
     *
     * @param code the event
     * @param nowNanos the current time of a monotonic clock
     * @return the number of lines suppressed since the last one written, or -1 if this line is
     *     suppressed as well
     */
    long admit(EventCode code, long nowNanos) {
        return windows.get(code).admit(nowNanos / NANOS_PER_SECOND);
    }

    /**
     * Counts a line that was admitted but could not be written.
     *
     * @param code the event
     */
    void countSuppressed(EventCode code) {
        windows.get(code).suppressed.incrementAndGet();
    }

    /** Counts the lines of one event in the current second. */
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
