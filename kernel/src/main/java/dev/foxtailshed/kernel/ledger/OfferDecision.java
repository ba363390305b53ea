package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.RequestFailure;

/** What the ledger decides about an offer. */
public sealed interface OfferDecision {

    /**
     * The place is held.
     *
     * @param expiresInMillis how long the grant still stands
     */
    record Granted(long expiresInMillis) implements OfferDecision {}

    /**
     * There is no place; the attempt can never run at this incarnation.
     *
     * @param failure why, and whether an attempt with this id may have run before
     */
    record Refused(RequestFailure failure) implements OfferDecision {}

    /** The attempt was committed before; the answer to that commit stands. */
    record AlreadyCommitted() implements OfferDecision {}
}
