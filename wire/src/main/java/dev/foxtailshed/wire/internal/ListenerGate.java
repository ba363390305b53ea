package dev.foxtailshed.wire.internal;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Serializes the calls of a listener and runs the final call exactly once, after all others.
 *
 * <p>Thread-safe and non-blocking.
 */
final class ListenerGate {

    private static final int IDLE = 0;
    private static final int BUSY = 1;
    private static final int CLOSED = 2;

    private final AtomicInteger state = new AtomicInteger(IDLE);
    private final Executor executor;
    private final Runnable finalCall;

    ListenerGate(Executor executor, Runnable finalCall) {
        this.executor = executor;
        this.finalCall = finalCall;
    }

    /**
     * Returns whether the calling thread may call the listener until {@link #exit}; false if
     * another thread may, or after {@link #close}.
     */
    boolean tryEnter() {
        return state.compareAndSet(IDLE, BUSY);
    }

    /** Releases the gate after {@link #tryEnter} returned true, and runs a pending final call. */
    void exit() {
        if (!state.compareAndSet(BUSY, IDLE)) {
            finalCall.run();
        }
    }

    /**
     * Schedules the final call: on the executor if no thread has entered, otherwise on the thread
     * that has entered, when it exits.
     */
    void close() {
        if (state.getAndUpdate(current -> current | CLOSED) == IDLE) {
            runOutsideCaller(executor, finalCall);
        }
    }

    /**
     * Runs a call on the executor, outside the stack and locks of the caller; if the executor
     * rejects the call, runs it in the calling thread.
     */
    static void runOutsideCaller(Executor executor, Runnable call) {
        try {
            executor.execute(call);
        } catch (RejectedExecutionException e) {
            call.run();
        }
    }
}
