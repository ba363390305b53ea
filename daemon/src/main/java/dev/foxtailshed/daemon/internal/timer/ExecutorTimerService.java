package dev.foxtailshed.daemon.internal.timer;

import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.kernel.TimerService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A timer service that runs tasks on one thread and uses the JVM's monotonic clock.
 *
 * <p>An exception or error of a task is logged; a periodic task runs again in its next period.
 * Thread-safe.
 */
public final class ExecutorTimerService implements TimerService, AutoCloseable {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ScheduledThreadPoolExecutor executor;
    private final long startNanos = System.nanoTime();

    /** Creates the service; its daemon thread starts with the first task. */
    public ExecutorTimerService() {
        executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "timer");
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public long nowMillis() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    @Override
    public Subscription once(long delayMillis, Runnable task) {
        return subscription(
                executor.schedule(catchingFailures(task), delayMillis, TimeUnit.MILLISECONDS));
    }

    @Override
    public Subscription every(long periodMillis, Runnable task) {
        return subscription(
                executor.scheduleWithFixedDelay(
                        catchingFailures(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Subscription subscription(ScheduledFuture<?> future) {
        return () -> future.cancel(false);
    }

    private static Runnable catchingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (Throwable e) {
                // After an exception or error, the executor would silently stop a periodic task.
                EventLog.logUnexpected("timer", e);
            }
        };
    }
}
