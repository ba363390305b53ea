package dev.foxtailshed.daemon.internal.serial;

import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.TimerService.Subscription;
import java.util.concurrent.Executor;

/**
 * Schedules tasks that run on a serial executor.
 *
 * <p>A task that another task of the executor has cancelled does not run, even if its time came
 * while that other task ran, so that it was already waiting in the executor. Thread-safe.
 */
public final class SerialTimer {

    private final TimerService timer;
    private final Executor executor;

    /**
     * Creates a timer without tasks.
     *
     * @param timer the clock and scheduler
     * @param executor passes tasks to a {@link SerialExecutor}
     */
    public SerialTimer(TimerService timer, Executor executor) {
        this.timer = timer;
        this.executor = executor;
    }

    /**
     * Schedules a task to run once.
     *
     * @param delayMillis the delay in milliseconds; a negative one counts as zero
     * @param task the task
     * @return a handle that cancels the task
     */
    public Subscription once(long delayMillis, Runnable task) {
        CancellableTask cancellable = new CancellableTask(task);
        Subscription due =
                timer.once(Math.max(0, delayMillis), () -> executor.execute(cancellable));
        return () -> {
            cancellable.cancel();
            due.cancel();
        };
    }

    private static final class CancellableTask implements Runnable {
        private final Runnable task;
        private volatile boolean cancelled;

        CancellableTask(Runnable task) {
            this.task = task;
        }

        void cancel() {
            cancelled = true;
        }

        @Override
        public void run() {
            if (!cancelled) {
                task.run();
            }
        }
    }
}
