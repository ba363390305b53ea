package dev.foxtailshed.daemon.internal.serial;

import dev.foxtailshed.daemon.internal.events.EventLog;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks one at a time, in order, on a shared pool of threads.
 *
 * <p>Each request has one, so that its state needs no lock. Thread-safe.
 */
public final class SerialExecutor implements Executor {

    private final Executor pool;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    /**
     * Creates an executor.
     *
     * @param pool runs what is not run on the calling thread
     */
    public SerialExecutor(Executor pool) {
        this.pool = pool;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() == 0) {
            pool.execute(this::drain);
        }
    }

    /**
     * Runs a task on the calling thread, unless another thread runs one; then that one runs it too.
     *
     * <p>For threads that may run any task, hold no lock and came here with a message: handing it
     * to another thread costs more than most tasks do.
     *
     * @param task the task
     */
    public void executeOrEnqueue(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() == 0) {
            drain();
        }
    }

    private void drain() {
        do {
            try {
                tasks.remove().run();
            } catch (RuntimeException e) {
                EventLog.unexpected("request", e);
            }
        } while (pending.decrementAndGet() > 0);
    }
}
