package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.RequestFailure;

/** The ledger's decision on an offer. */
public sealed interface OfferDecision {

    /**
     * A request slot and KV pieces are held for the attempt.
     *
     * @param expiresInMillis the time until the grant expires unless it is committed
     */
    record Granted(long expiresInMillis) implements OfferDecision {}

    /**
     * Nothing is held; the attempt can never run at this incarnation of the sidecar.
     *
     * @param failure the reason, with the verdict for this attempt id
     */
    record Refused(RequestFailure failure) implements OfferDecision {}

    /** The attempt was committed before; the decision on that commit still applies. */
    record AlreadyCommitted() implements OfferDecision {}
}
