package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;

/**
 * The one place that says what may follow when a call to a backend server fails.
 *
 * <p>A request that may have run is repeated only if its route allows that, and is never answered
 * with a status that promises the opposite.
 */
public enum FailureAction {
    /** Send the request to another server. */
    TRY_ANOTHER,
    /** Refuse the request with a promise that it has not run. */
    REFUSE,
    /** Fail the request without any promise. */
    FAIL,
    /** Pass the server's own error on. */
    PASS_ON;

    /**
     * Decides what follows.
     *
     * @param outcome how the last call ended; the request's verdict is that of all its calls
     * @param verdict whether any call of the request may have run
     * @param repeatability what the route allows
     * @param serversLeft how many more servers the request may be sent to
     * @return the next step
     */
    public static FailureAction decide(
            CallOutcome outcome, Verdict verdict, Repeatability repeatability, int serversLeft) {
        boolean mayRepeat = verdict == Verdict.NOT_RUN || repeatability.mayRunAgain();
        if (mayRepeat && serversLeft > 0) {
            return TRY_ANOTHER;
        }
        if (outcome == CallOutcome.SERVER_ERROR) {
            return PASS_ON;
        }
        return verdict == Verdict.NOT_RUN ? REFUSE : FAIL;
    }

    /**
     * Builds the error for a request whose calls failed.
     *
     * @param verdict whether any call may have run
     * @param timedOut whether time ran out
     * @param message one phrase for the caller
     * @param retryAfterMillis when to come back, used only where the request has not run
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
}
