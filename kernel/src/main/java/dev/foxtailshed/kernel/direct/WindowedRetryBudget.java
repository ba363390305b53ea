package dev.foxtailshed.kernel.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Limits the retries that this entry sends to one service within a sliding window.
 *
 * <p>The deployment allows retries up to a ratio of the requests plus a fixed reserve, over all
 * entries; this entry uses the ratio of its own requests and its share of the reserve. Not
 * thread-safe.
 */
public final class WindowedRetryBudget {

    /**
     * Fraction of the budget that is used; the rest covers requests that cross a window boundary.
     */
    private static final double SAFETY_FACTOR = 0.7;

    private final double ratio;
    private final DoubleSupplier reserveShare;
    private final long windowMillis;
    private final Deque<Long> requestTimes = new ArrayDeque<>();
    private final Deque<Long> retryTimes = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio the number of retries allowed per request
     * @param reserveShare this entry's share of the fixed reserve, which changes with the number of
     *     entries
     * @param windowMillis the length of the window
     */
    public WindowedRetryBudget(double ratio, DoubleSupplier reserveShare, long windowMillis) {
        this.ratio = ratio;
        this.reserveShare = reserveShare;
        this.windowMillis = windowMillis;
    }

    /**
     * Records a request from a caller.
     *
     * @param nowMillis the current time
     */
    public void recordRequest(long nowMillis) {
        removeExpired(requestTimes, nowMillis);
        requestTimes.add(nowMillis);
    }

    /**
     * Takes one retry from the budget if it allows one.
     *
     * @param nowMillis the current time
     * @return false if the retry must not be sent
     */
    public boolean tryRetry(long nowMillis) {
        removeExpired(requestTimes, nowMillis);
        removeExpired(retryTimes, nowMillis);
        if (retryTimes.size() + 1
                > SAFETY_FACTOR * (ratio * requestTimes.size() + reserveShare.getAsDouble())) {
            return false;
        }
        retryTimes.add(nowMillis);
        return true;
    }

    private void removeExpired(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peek() <= nowMillis - windowMillis) {
            times.remove();
        }
    }
}
