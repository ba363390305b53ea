package dev.foxtailshed.kernel.claims;

import java.util.Optional;

/**
 * A claim as stored in its shard: in progress, or done once an answer is recorded. Immutable.
 *
 * @param claimId the id of the request that holds the claim
 * @param contentDigest the digest of the call's method, path, query and body
 * @param expiresAtEpochMillis the time at which the claim expires
 * @param answer the answer of the run, empty while the outcome is not recorded
 */
public record Claim(
        String claimId,
        String contentDigest,
        long expiresAtEpochMillis,
        Optional<RecordedAnswer> answer) {

    private static final int OVERHEAD_BYTES = 180;

    Claim withAnswer(RecordedAnswer newAnswer) {
        return new Claim(claimId, contentDigest, expiresAtEpochMillis, Optional.of(newAnswer));
    }

    /** Returns the approximate size of the claim in its shard, including its key. */
    int sizeBytes() {
        return OVERHEAD_BYTES + answer.map(RecordedAnswer::sizeBytes).orElse(0);
    }
}
