package dev.foxtailshed.kernel.claims;

/** The decision of a shard on a request for a claim. */
public sealed interface ClaimDecision {

    /** This request holds the claim and may run once the shard is stored. */
    record Claimed() implements ClaimDecision {}

    /** Another request holds the claim and its outcome is not recorded. */
    record InUse() implements ClaimDecision {}

    /**
     * Another request with the same content has run.
     *
     * @param answer the answer of that request
     */
    record Answered(RecordedAnswer answer) implements ClaimDecision {}

    /** The key was used for different content; this request must not run. */
    record Reused() implements ClaimDecision {}

    /** The shard is full; this request must not run. */
    record Full() implements ClaimDecision {}
}
