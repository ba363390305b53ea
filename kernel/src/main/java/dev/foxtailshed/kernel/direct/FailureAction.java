package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;

/**
 * The action taken when a call to a backend server fails.
 *
 * <p>This is the only place that decides it. A request that may have run is sent again only if its
 * route allows that, and is never answered with a status that promises that it did not run.
 */
public enum FailureAction {
    /** Send the request to another server. */
    TRY_ANOTHER,
    /** Reject the request with a guarantee that it has not run. */
    REFUSE,
    /** Fail the request without such a guarantee. */
    FAIL,
    /** Forward the server's own error to the caller. */
    PASS_ON;

    /**
     * Returns the action for a failed call.
     *
     * @param outcome the outcome of the last call
     * @param verdict the verdict over all calls of the request
     * @param repeatability whether the route allows running the request more than once
     * @param serversLeft the number of further servers to which the request may be sent
     * @return the action
     */
    public static FailureAction decide(
            CallOutcome outcome, Verdict verdict, Repeatability repeatability, int serversLeft) {
        boolean mayRetry = verdict == Verdict.NOT_RUN || repeatability.mayRunAgain();
        if (mayRetry && serversLeft > 0) {
            return TRY_ANOTHER;
        }
        if (outcome == CallOutcome.SERVER_ERROR) {
            return PASS_ON;
        }
        return verdict == Verdict.NOT_RUN ? REFUSE : FAIL;
    }

    /**
     * Creates the failure for a request whose calls failed.
     *
     * @param verdict the verdict over all calls of the request
     * @param timedOut whether the time limit was reached
     * @param message the error message for the caller
     * @param retryAfterMillis the delay before a retry; used only if the request has not run
     * @return the failure
     */
    public static RequestFailure createFailure(
            Verdict verdict, boolean timedOut, String message, long retryAfterMillis) {
        if (verdict == Verdict.NOT_RUN) {
            return RequestFailure.notRun(ErrorCode.NO_SERVER, message).retryAfter(retryAfterMillis);
        }
        return RequestFailure.of(
                Verdict.MAY_HAVE_RUN,
                timedOut ? ErrorCode.TIMEOUT : ErrorCode.CONNECTION_LOST,
                message);
    }

    /**
     * Creates the failure for a request that must not reach a server, since it would crash it.
     *
     * @param verdict the verdict over all calls of the request
     * @param message the error message for the caller
     * @return the failure, without a delay after which a retry could succeed
     */
    public static RequestFailure createBlockedFailure(Verdict verdict, String message) {
        return verdict == Verdict.NOT_RUN
                ? RequestFailure.notRun(ErrorCode.REQUEST_BLOCKED, message)
                : RequestFailure.of(Verdict.MAY_HAVE_RUN, ErrorCode.BACKEND_CRASHED, message);
    }
}
