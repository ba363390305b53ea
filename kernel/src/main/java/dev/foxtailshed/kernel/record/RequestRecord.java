package dev.foxtailshed.kernel.record;

import dev.foxtailshed.kernel.Verdict;
import java.util.List;
import java.util.Objects;

/**
 * The outcome of a request as reported to its caller, recorded by the entry.
 *
 * @param request the request's label
 * @param endedEpochMillis the time at which the answer to the caller ended
 * @param deployment the name of the deployment
 * @param requestClass the name of the request class
 * @param repeatable whether the request is idempotent
 * @param verdict the verdict reported to the caller, {@link Verdict#RAN} for an answer
 * @param code the error code reported to the caller, empty for an answer
 * @param tookMillis the time from the request to the end of the answer
 * @param outputTokens the tokens of the answer, zero for calls
 * @param attempts the attempts in order
 */
public record RequestRecord(
        String request,
        long endedEpochMillis,
        String deployment,
        String requestClass,
        boolean repeatable,
        Verdict verdict,
        String code,
        long tookMillis,
        long outputTokens,
        List<AttemptRecord> attempts) {

    /** Checks for null and copies the list. */
    public RequestRecord {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(deployment, "deployment");
        Objects.requireNonNull(requestClass, "requestClass");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(code, "code");
        attempts = List.copyOf(attempts);
    }
}
