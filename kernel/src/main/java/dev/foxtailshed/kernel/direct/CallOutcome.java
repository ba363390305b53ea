package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.Verdict;

/** How a call to a backend server ended, as far as routing cares. */
public enum CallOutcome {
    /** A complete answer of the server. */
    ANSWERED(Verdict.RAN, false),
    /** The server ran the request and answered with an error of its own. */
    SERVER_ERROR(Verdict.RAN, false),
    /** The server said that it did not run the request. */
    REFUSED(Verdict.NOT_RUN, false),
    /** Another server has the address now, and did not run the request. */
    WRONG_SERVER(Verdict.NOT_RUN, true),
    /** No connection could be established, so nothing was sent. */
    UNREACHABLE(Verdict.NOT_RUN, true),
    /** The connection broke, or what came back is no valid answer to the request. */
    BROKEN(Verdict.MAY_HAVE_RUN, true),
    /** No answer came in time. */
    SILENT(Verdict.MAY_HAVE_RUN, true),
    /** The entry gave the call up, because the caller left or a deadline passed. */
    CANCELLED(Verdict.MAY_HAVE_RUN, false);

    private final Verdict verdict;
    private final boolean hardFailure;

    CallOutcome(Verdict verdict, boolean hardFailure) {
        this.verdict = verdict;
        this.hardFailure = hardFailure;
    }

    /**
     * Tells whether the request may have run.
     *
     * @return the verdict
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Tells whether the outcome speaks against the server or the way to it.
     *
     * @return true for failures that a healthy server does not cause
     */
    public boolean isHardFailure() {
        return hardFailure;
    }
}
