package dev.foxtailshed.kernel;

/**
 * A source of monotonic time and a scheduler of tasks.
 *
 * <p>All components take the time from a timer service, so that tests can control it.
 * Implementations for production are thread-safe. Tasks must be short and must not block.
 */
public interface TimerService {

    /**
     * Returns the monotonic time, which never decreases and has no relation to wall-clock time.
     *
     * @return the time in milliseconds
     */
    long nowMillis();

    /**
     * Schedules a task to run once.
     *
     * @param delayMillis the delay in milliseconds, not negative
     * @param task the task
     * @return a handle that cancels the task
     */
    Subscription once(long delayMillis, Runnable task);

    /**
     * Schedules a task to run periodically.
     *
     * @param periodMillis the period in milliseconds, positive
     * @param task the task
     * @return a handle that cancels the task
     */
    Subscription every(long periodMillis, Runnable task);

    /** A scheduled task that can be cancelled. */
    interface Subscription {
        /** Cancels the task. A run in progress is not interrupted. */
        void cancel();
    }
}
