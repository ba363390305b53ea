package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.AttemptId;
import java.util.Objects;

/**
 * An offered attempt, which needs one request slot and some KV pieces.
 *
 * @param attemptId the id of the attempt
 * @param kind the kind of the attempt
 * @param manifestVersion the manifest version that the entry applies
 * @param pieces the number of KV pieces, not negative
 * @param promptTokens estimated prompt tokens, zero for calls
 * @param neededInMillis the expected delay until the attempt is committed, not negative
 */
public record ReservationRequest(
        AttemptId attemptId,
        AttemptKind kind,
        long manifestVersion,
        int pieces,
        long promptTokens,
        long neededInMillis) {

    /** Checks that no component is null or negative. */
    public ReservationRequest {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(kind, "kind");
        if (pieces < 0 || neededInMillis < 0) {
            throw new IllegalArgumentException(
                    "pieces and neededInMillis must not be negative: "
                            + pieces
                            + ", "
                            + neededInMillis);
        }
    }
}
