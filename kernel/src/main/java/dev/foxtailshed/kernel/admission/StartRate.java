package dev.foxtailshed.kernel.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Measures the rate at which waiting requests start, only while requests wait.
 *
 * <p>Not thread-safe: callers hold the lock of the queue.
 */
public final class StartRate {

    private static final long WINDOW_MILLIS = 2_000;
    private static final long MINIMUM_OBSERVED_MILLIS = 400;
    private static final int MINIMUM_STARTS = 6;
    private static final int MAXIMUM_STARTS = 1_000;

    private final Deque<Long> startTimesMillis = new ArrayDeque<>();
    private long waitingSinceMillis = Long.MAX_VALUE;

    /**
     * Records that requests wait.
     *
     * @param nowMillis the current time
     */
    public void recordWaiting(long nowMillis) {
        waitingSinceMillis = Math.min(waitingSinceMillis, nowMillis);
    }

    /**
     * Records the start of a request.
     *
     * @param nowMillis the current time
     */
    public void recordStart(long nowMillis) {
        startTimesMillis.addLast(nowMillis);
        prune(nowMillis);
    }

    /**
     * Estimates how long a number of starts will take.
     *
     * @param starts the number of starts
     * @param nowMillis the current time
     * @return the time in milliseconds, or empty if there are too few observations
     */
    public OptionalLong estimateMillis(long starts, long nowMillis) {
        prune(nowMillis);
        long sinceMillis = Math.max(waitingSinceMillis, nowMillis - WINDOW_MILLIS);
        long observedMillis = nowMillis - sinceMillis;
        if (startTimesMillis.size() < MINIMUM_STARTS || observedMillis < MINIMUM_OBSERVED_MILLIS) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(starts * observedMillis / startTimesMillis.size());
    }

    private void prune(long nowMillis) {
        while (!startTimesMillis.isEmpty()
                && (startTimesMillis.peekFirst() < nowMillis - WINDOW_MILLIS
                        || startTimesMillis.size() > MAXIMUM_STARTS)) {
            startTimesMillis.removeFirst();
        }
    }
}
