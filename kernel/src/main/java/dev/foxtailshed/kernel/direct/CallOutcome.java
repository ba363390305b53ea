package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.Verdict;

/** The outcome of a call to a backend server, as far as routing distinguishes them. */
public enum CallOutcome {
    /** The server sent a complete response. */
    ANSWERED(Verdict.RAN, false),
    /** The server ran the request and responded with an error of its own. */
    SERVER_ERROR(Verdict.RAN, false),
    /** The server reported that it did not run the request. */
    REFUSED(Verdict.NOT_RUN, false),
    /** Another server now has this address; it did not run the request. */
    WRONG_SERVER(Verdict.NOT_RUN, true),
    /** No connection could be established, so nothing was sent. */
    UNREACHABLE(Verdict.NOT_RUN, true),
    /** The connection broke, or the response was not valid for the request. */
    BROKEN(Verdict.MAY_HAVE_RUN, true),
    /** No response arrived in time. */
    SILENT(Verdict.MAY_HAVE_RUN, true),
    /** The entry cancelled the call because the caller disconnected or a deadline passed. */
    CANCELLED(Verdict.MAY_HAVE_RUN, false);

    private final Verdict verdict;
    private final boolean hardFailure;

    CallOutcome(Verdict verdict, boolean hardFailure) {
        this.verdict = verdict;
        this.hardFailure = hardFailure;
    }

    /**
     * Returns whether the request ran, may have run or did not run.
     *
     * @return the verdict
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns whether the outcome indicates a fault of the server or of the network path to it.
     *
     * @return true for failures that a healthy server does not cause
     */
    public boolean isHardFailure() {
        return hardFailure;
    }
}
