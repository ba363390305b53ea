package dev.foxtailshed.kernel.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * How fast waiting requests get their places, measured only while some wait.
 *
 * <p>Needs the lock of its queue.
 */
public final class StartRate {

    private static final long WINDOW_MILLIS = 2_000;
    private static final long BUSY_MILLIS_NEEDED = 400;
    private static final int STARTS_NEEDED = 6;
    private static final int MAXIMUM_STARTS = 1_000;

    private final Deque<Long> startsMillis = new ArrayDeque<>();
    private long busySinceMillis = Long.MAX_VALUE;

    /**
     * Tells that requests wait.
     *
     * @param nowMillis the time
     */
    public void recordWaiting(long nowMillis) {
        busySinceMillis = Math.min(busySinceMillis, nowMillis);
    }

    /**
     * Counts a start.
     *
     * @param nowMillis the time
     */
    public void recordStart(long nowMillis) {
        startsMillis.addLast(nowMillis);
        prune(nowMillis);
    }

    /**
     * Predicts how long a number of starts takes.
     *
     * @param starts the number
     * @param nowMillis the time
     * @return the time, or nothing while too little was seen
     */
    public OptionalLong estimateMillis(long starts, long nowMillis) {
        prune(nowMillis);
        long sinceMillis = Math.max(busySinceMillis, nowMillis - WINDOW_MILLIS);
        long seenMillis = nowMillis - sinceMillis;
        if (startsMillis.size() < STARTS_NEEDED || seenMillis < BUSY_MILLIS_NEEDED) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(starts * seenMillis / startsMillis.size());
    }

    private void prune(long nowMillis) {
        while (!startsMillis.isEmpty()
                && (startsMillis.peekFirst() < nowMillis - WINDOW_MILLIS
                        || startsMillis.size() > MAXIMUM_STARTS)) {
            startsMillis.removeFirst();
        }
    }
}
