package dev.foxtailshed.kernel.direct;

/**
 * Decides which requests an instance still accepts while it shuts down.
 *
 * <p>During a rolling restart, several instances may shut down at the same time, so that callers
 * find none that is ready. An instance that still waits for its streams therefore accepts requests
 * that are certain to end before its own shutdown deadline. Immutable and thread-safe.
 */
public final class ShutdownAdmission {

    /** The phases of a shutdown. */
    public enum Phase {
        /** No shutdown, or one that the load balancer may not have noticed yet. */
        OPEN,
        /** Earlier requests are still in flight. */
        FINISHING,
        /** Only requests accepted in the previous phase are left. */
        CLOSED
    }

    private final Phase phase;
    private final long endMillis;

    private ShutdownAdmission(Phase phase, long endMillis) {
        this.phase = phase;
        this.endMillis = endMillis;
    }

    /**
     * Returns the state of an instance that accepts all requests.
     *
     * @return the state in phase {@link Phase#OPEN}
     */
    public static ShutdownAdmission open() {
        return new ShutdownAdmission(Phase.OPEN, Long.MAX_VALUE);
    }

    /**
     * Returns the state of an instance that waits for earlier requests to end.
     *
     * @param endMillis the time by which all requests must have ended, on the timer's clock
     * @return the state in phase {@link Phase#FINISHING}
     */
    public static ShutdownAdmission finishing(long endMillis) {
        return new ShutdownAdmission(Phase.FINISHING, endMillis);
    }

    /**
     * Returns the state of an instance that accepts no requests.
     *
     * @return the state in phase {@link Phase#CLOSED}
     */
    public static ShutdownAdmission closed() {
        return new ShutdownAdmission(Phase.CLOSED, Long.MIN_VALUE);
    }

    /**
     * Returns the phase of the shutdown.
     *
     * @return the current phase
     */
    public Phase phase() {
        return phase;
    }

    /**
     * Returns whether a request is accepted.
     *
     * @param deadlineMillis the request's deadline, on the timer's clock
     * @return false if the request must be refused as not run
     */
    public boolean admits(long deadlineMillis) {
        return phase == Phase.OPEN || (phase == Phase.FINISHING && deadlineMillis <= endMillis);
    }
}
