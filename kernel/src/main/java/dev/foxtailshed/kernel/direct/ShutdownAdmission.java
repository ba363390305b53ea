package dev.foxtailshed.kernel.direct;

/**
 * Decides which requests an instance still takes while it shuts down.
 *
 * <p>The load pattern is a rolling restart in which several instances shut down at the same time:
 * callers may find none that is ready. An instance that still waits for its streams therefore goes
 * on with requests that surely end before it must. Immutable and thread-safe.
 */
public final class ShutdownAdmission {

    /** How far a shutdown has come. */
    public enum Phase {
        /** No shutdown, or the balancer may not have noticed it yet. */
        OPEN,
        /** Earlier requests are still in flight. */
        FINISHING,
        /** Only requests of the last phase are left. */
        CLOSED
    }

    private final Phase phase;
    private final long endMillis;

    private ShutdownAdmission(Phase phase, long endMillis) {
        this.phase = phase;
        this.endMillis = endMillis;
    }

    /**
     * Returns the state of an instance that takes everything.
     *
     * @return the state
     */
    public static ShutdownAdmission open() {
        return new ShutdownAdmission(Phase.OPEN, Long.MAX_VALUE);
    }

    /**
     * Returns the state of an instance that waits for earlier requests.
     *
     * @param endMillis when all requests must have ended, on the timer's clock
     * @return the state
     */
    public static ShutdownAdmission finishing(long endMillis) {
        return new ShutdownAdmission(Phase.FINISHING, endMillis);
    }

    /**
     * Returns the state of an instance that takes nothing more.
     *
     * @return the state
     */
    public static ShutdownAdmission closed() {
        return new ShutdownAdmission(Phase.CLOSED, Long.MIN_VALUE);
    }

    /**
     * Returns how far the shutdown has come.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase;
    }

    /**
     * Tells whether a request is taken.
     *
     * @param deadlineMillis when the request's time ends, on the timer's clock
     * @return false if it must be refused as not run
     */
    public boolean admits(long deadlineMillis) {
        return phase == Phase.OPEN || (phase == Phase.FINISHING && deadlineMillis <= endMillis);
    }
}
