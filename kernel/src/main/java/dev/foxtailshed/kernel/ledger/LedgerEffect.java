package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.AttemptId;

/** Something that the owner of a ledger must do after a change of the ledger. */
public sealed interface LedgerEffect {

    /**
     * Cancel the work at the backend server, then report {@link ServerLedger#cancelled}.
     *
     * @param attemptId the attempt
     */
    record CancelWork(AttemptId attemptId) implements LedgerEffect {}

    /**
     * A grant lapsed without a commit.
     *
     * @param attemptId the attempt
     */
    record GrantExpired(AttemptId attemptId) implements LedgerEffect {}

    /**
     * The lease of an entry lapsed; its connections are of no more use.
     *
     * @param entryIncarnation the entry
     */
    record LeaseExpired(long entryIncarnation) implements LedgerEffect {}

    /**
     * An attempt ended whose outcome was asked for while it ran; query it again.
     *
     * @param attemptId the attempt
     */
    record OutcomeKnown(AttemptId attemptId) implements LedgerEffect {}
}
