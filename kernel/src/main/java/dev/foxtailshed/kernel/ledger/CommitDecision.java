package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.RequestFailure;

/** What the ledger decides about a commit. */
public sealed interface CommitDecision {

    /** The work must be started now; said once for an attempt. */
    record Run() implements CommitDecision {}

    /**
     * The work must not be started, now or ever.
     *
     * @param failure why, and whether an attempt with this id may have run before
     */
    record Refused(RequestFailure failure) implements CommitDecision {}

    /** The attempt was committed before; it is not started again. */
    record AlreadyCommitted() implements CommitDecision {}
}
