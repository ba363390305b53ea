package dev.foxtailshed.kernel.claims;

/**
 * The result of a request for a claim.
 *
 * @param shard the shard to store, the same as before unless the decision is {@link
 *     ClaimDecision.Claimed}
 * @param decision the decision, which takes effect once the shard is stored
 */
public record ClaimResult(ClaimShard shard, ClaimDecision decision) {}
