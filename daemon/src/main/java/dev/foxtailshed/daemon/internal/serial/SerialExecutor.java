package dev.foxtailshed.daemon.internal.serial;

import dev.foxtailshed.daemon.internal.events.EventLog;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An executor that runs its tasks one at a time, in order, on a shared thread pool.
 *
 * <p>Each request has its own, so that its state needs no lock. An exception or error of a task is
 * logged and does not prevent later tasks from running. Thread-safe.
 */
public final class SerialExecutor implements Executor {

    /**
     * Tasks that a calling thread runs in a row before the pool takes over. The thread may be the
     * one that reads a connection or fires timers, and more tasks may come without end.
     */
    static final int MAXIMUM_TASKS_OF_CALLER = 32;

    private final Executor pool;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    /** Created in advance, as a failure to allocate it would leave the tasks without a thread. */
    private final Runnable runner = this::runTasks;

    /**
     * Creates an executor without tasks.
     *
     * @param pool the threads that run tasks passed to {@link #execute}
     */
    public SerialExecutor(Executor pool) {
        this.pool = pool;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() == 0) {
            pool.execute(runner);
        }
    }

    /**
     * Runs a task on the calling thread if no task is running, and otherwise enqueues it.
     *
     * <p>The calling thread also runs tasks that are enqueued meanwhile, up to a limit.
     *
     * <p>Use it only on threads that may run any task and hold no lock, such as those that receive
     * messages: passing a message to another thread costs more than most tasks do.
     *
     * @param task the task, which may run on another thread after this method returns
     */
    public void executeOrEnqueue(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() == 0) {
            runTasksOfCaller();
        }
    }

    private void runTasksOfCaller() {
        for (int i = 0; i < MAXIMUM_TASKS_OF_CALLER; i++) {
            runNextTask();
            if (pending.decrementAndGet() == 0) {
                return;
            }
        }
        try {
            pool.execute(runner);
        } catch (RejectedExecutionException e) {
            // The pool has stopped, so that no further tasks are to be expected.
            runTasks();
        }
    }

    private void runTasks() {
        do {
            runNextTask();
        } while (pending.decrementAndGet() > 0);
    }

    private void runNextTask() {
        try {
            tasks.remove().run();
        } catch (Throwable e) {
            // An Error must not leave the tasks after it waiting forever either.
            EventLog.logUnexpected("request", e);
        }
    }
}
