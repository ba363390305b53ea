package dev.foxtailshed.wire.internal;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lets one thread at a time call a listener, and the last call happen once, after all others.
 *
 * <p>Thread-safe; no thread ever waits.
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

    /** Returns whether the caller may call the listener, until {@link #exit}. */
    boolean tryEnter() {
        return state.compareAndSet(IDLE, BUSY);
    }

    /** Ends the calls of the thread that entered. */
    void exit() {
        if (!state.compareAndSet(BUSY, IDLE)) {
            finalCall.run();
        }
    }

    /** Asks for the last call: now by the executor, or at exit of the thread that is inside. */
    void close() {
        if (state.getAndUpdate(current -> current | CLOSED) == IDLE) {
            runOutsideCaller(executor, finalCall);
        }
    }

    /** Runs a call outside the caller's stack and locks, if the executor still works. */
    static void runOutsideCaller(Executor executor, Runnable call) {
        try {
            executor.execute(call);
        } catch (RejectedExecutionException e) {
            call.run();
        }
    }
}
