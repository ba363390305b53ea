package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.RequestFailure;

/** The ledger's decision on a commit. */
public sealed interface CommitDecision {

    /** The work must be started now. Returned at most once for an attempt. */
    record Run() implements CommitDecision {}

    /**
     * The work must not be started, now or ever.
     *
     * @param failure the reason, with the verdict for this attempt id
     */
    record Refused(RequestFailure failure) implements CommitDecision {}

    /** The attempt was committed before and is not started again. */
    record AlreadyCommitted() implements CommitDecision {}
}
