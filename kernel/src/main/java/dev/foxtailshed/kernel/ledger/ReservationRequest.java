package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.AttemptId;
import java.util.Objects;

/**
 * Asks the ledger for one request slot and some KV pieces.
 *
 * @param attemptId the attempt
 * @param kind the kind of work
 * @param manifestVersion the manifest version that the entry applies
 * @param pieces the KV pieces, not negative
 * @param promptTokens estimated prompt tokens, zero for calls
 * @param neededInMillis when the place will be used, from now, not negative
 */
public record ReservationRequest(
        AttemptId attemptId,
        AttemptKind kind,
        long manifestVersion,
        int pieces,
        long promptTokens,
        long neededInMillis) {

    /** Checks the parts. */
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
