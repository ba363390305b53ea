package dev.foxtailshed.kernel.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Limits the repeats that this entry sends to one service within a sliding window.
 *
 * <p>The deployment allows a ratio of the requests plus a fixed reserve over all entries; this
 * entry uses the ratio of its own requests and its share of the reserve. Not thread-safe.
 */
public final class WindowedRetryBudget {

    /** The part of the allowance that is used; the rest covers requests that cross a window. */
    private static final double SAFETY = 0.7;

    private final double ratio;
    private final DoubleSupplier reserve;
    private final long windowMillis;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio repeats allowed for each request
     * @param reserveShare this entry's share of the fixed reserve, which follows the entries
     * @param windowMillis the length of the window
     */
    public WindowedRetryBudget(double ratio, DoubleSupplier reserveShare, long windowMillis) {
        this.ratio = ratio;
        this.reserve = reserveShare;
        this.windowMillis = windowMillis;
    }

    /**
     * Counts a request of a caller.
     *
     * @param nowMillis the time
     */
    public void recordRequest(long nowMillis) {
        expire(requests, nowMillis);
        requests.add(nowMillis);
    }

    /**
     * Takes one repeat from the budget.
     *
     * @param nowMillis the time
     * @return false if the repeat must not be sent
     */
    public boolean tryRetry(long nowMillis) {
        expire(requests, nowMillis);
        expire(repeats, nowMillis);
        if (repeats.size() + 1 > SAFETY * (ratio * requests.size() + reserve.getAsDouble())) {
            return false;
        }
        repeats.add(nowMillis);
        return true;
    }

    private void expire(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peek() <= nowMillis - windowMillis) {
            times.remove();
        }
    }
}
