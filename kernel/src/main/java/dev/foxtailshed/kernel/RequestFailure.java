package dev.foxtailshed.kernel;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The failure of a request or an attempt: its reason and whether it may have run.
 *
 * @param verdict whether the request may have run
 * @param code the stable error code
 * @param message a human-readable sentence
 * @param retryAfterMillis the delay after which a resend may succeed, if known
 */
public record RequestFailure(
        Verdict verdict, ErrorCode code, String message, OptionalLong retryAfterMillis) {

    /** Statuses that callers take as the promise that a request has not run and never will. */
    private static final Set<Integer> STATUSES_OF_NOT_RUN = Set.of(408, 421, 429, 503);

    /** Checks that no component is null. */
    public RequestFailure {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(retryAfterMillis, "retryAfterMillis");
    }

    /**
     * Creates a failure without a retry delay.
     *
     * @param verdict whether the request may have run
     * @param code the stable error code
     * @param message a human-readable sentence
     * @return the failure
     */
    public static RequestFailure of(Verdict verdict, ErrorCode code, String message) {
        return new RequestFailure(verdict, code, message, OptionalLong.empty());
    }

    /**
     * Creates a failure of a request that was proved not to have run.
     *
     * @param code the stable error code
     * @param message a human-readable sentence
     * @return the failure
     */
    public static RequestFailure notRun(ErrorCode code, String message) {
        return of(Verdict.NOT_RUN, code, message);
    }

    /**
     * Returns the HTTP status to send.
     *
     * <p>It is that of the code, unless that one promises that the request has not run and the
     * verdict does not.
     *
     * @return the HTTP status
     */
    public int httpStatus() {
        boolean promises = STATUSES_OF_NOT_RUN.contains(code.httpStatus());
        return promises && verdict != Verdict.NOT_RUN
                ? ErrorCode.BACKEND_ERROR.httpStatus()
                : code.httpStatus();
    }

    /**
     * Returns this failure with a retry delay.
     *
     * @param millis the delay in milliseconds
     * @return the new failure
     */
    public RequestFailure retryAfter(long millis) {
        return new RequestFailure(verdict, code, message, OptionalLong.of(millis));
    }

    /**
     * Returns this failure with another verdict.
     *
     * @param newVerdict the verdict of the new failure
     * @return the new failure
     */
    public RequestFailure withVerdict(Verdict newVerdict) {
        return new RequestFailure(newVerdict, code, message, retryAfterMillis);
    }
}
