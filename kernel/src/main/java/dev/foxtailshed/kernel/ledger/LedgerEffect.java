package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.AttemptId;

/** An action or event that the owner of a ledger must handle after calling the ledger. */
public sealed interface LedgerEffect {

    /**
     * The work must be cancelled at the backend server, which the owner then confirms with {@link
     * ServerLedger#confirmCancellation}.
     *
     * @param attemptId the id of the attempt
     */
    record CancelWork(AttemptId attemptId) implements LedgerEffect {}

    /**
     * A grant expired without a commit.
     *
     * @param attemptId the id of the attempt
     */
    record GrantExpired(AttemptId attemptId) implements LedgerEffect {}

    /**
     * The lease of an entry expired; its connections can be closed.
     *
     * @param entryIncarnation the incarnation of the entry
     */
    record LeaseExpired(long entryIncarnation) implements LedgerEffect {}

    /**
     * An attempt ended whose outcome was queried while it ran; the query must be repeated.
     *
     * @param attemptId the id of the attempt
     */
    record OutcomeKnown(AttemptId attemptId) implements LedgerEffect {}
}
