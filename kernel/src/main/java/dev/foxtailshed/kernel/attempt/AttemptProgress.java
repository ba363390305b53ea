package dev.foxtailshed.kernel.attempt;

import dev.foxtailshed.kernel.Verdict;

/**
 * The state machine of one attempt at the entry, from its offer to its end.
 *
 * <p>{@link #commit()} is the only transition of an attempt from {@link Verdict#NOT_RUN} to {@link
 * Verdict#MAY_HAVE_RUN}: the commit message may be sent only if it returned true. Not thread-safe:
 * confined to the serial executor of its request.
 */
public final class AttemptProgress {

    private Phase phase = Phase.OFFERED;
    private Verdict verdict = Verdict.NOT_RUN;

    /** The phases of an attempt. */
    public enum Phase {
        /** An offer was sent. */
        OFFERED,
        /** The sidecar holds a reservation. */
        GRANTED,
        /** The commit is being sent or was sent. */
        COMMITTED,
        /** No further message is expected. */
        ENDED
    }

    /**
     * Records the sidecar's grant.
     *
     * @return whether the grant answers an open offer
     */
    public boolean grant() {
        if (phase != Phase.OFFERED) {
            return false;
        }
        phase = Phase.GRANTED;
        return true;
    }

    /**
     * Records that the commit is about to be sent.
     *
     * @return whether the commit may be sent: only once, and only after a grant
     */
    public boolean commit() {
        if (phase != Phase.GRANTED) {
            return false;
        }
        phase = Phase.COMMITTED;
        verdict = Verdict.MAY_HAVE_RUN;
        return true;
    }

    /**
     * Records that offer and commit are about to be sent in one dispatch message.
     *
     * @return whether the message may be sent
     */
    public boolean dispatch() {
        return grant() && commit();
    }

    /**
     * Ends the attempt with a proved verdict.
     *
     * @param proved the verdict; {@link Verdict#NOT_RUN} only if the sidecar reported it
     * @return whether the attempt was open
     */
    public boolean end(Verdict proved) {
        if (phase == Phase.ENDED) {
            return false;
        }
        verdict = proved;
        phase = Phase.ENDED;
        return true;
    }

    /**
     * Ends the attempt with the verdict known so far.
     *
     * @return whether the attempt was open
     */
    public boolean abandon() {
        return end(verdict);
    }

    /**
     * Returns the current phase.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase;
    }

    /**
     * Returns the verdict known so far.
     *
     * @return whether it may have run
     */
    public Verdict verdict() {
        return verdict;
    }
}
