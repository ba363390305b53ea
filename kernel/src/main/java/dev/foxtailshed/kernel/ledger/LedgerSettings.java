package dev.foxtailshed.kernel.ledger;

/**
 * The timeouts and bounds of a ledger, fixed for its lifetime.
 *
 * @param grantMillis how long a grant is held beyond the time at which it is needed
 * @param maximumNeededInMillis the upper bound applied to {@link ReservationRequest#neededInMillis}
 * @param exportTimeoutMillis how long an export is held before the ledger cancels it
 * @param leaseMillis how long an entry counts as alive after its last message
 * @param endedRetentionMillis how long the records of ended attempts are kept
 * @param maximumEndedAttempts the maximum number of ended attempts whose records are kept
 * @param maximumAnswerBytes the maximum total size of stored answers
 */
public record LedgerSettings(
        long grantMillis,
        long maximumNeededInMillis,
        long exportTimeoutMillis,
        long leaseMillis,
        long endedRetentionMillis,
        int maximumEndedAttempts,
        long maximumAnswerBytes) {

    /**
     * Checks the ranges: only {@code maximumNeededInMillis} and {@code maximumAnswerBytes} may be
     * zero.
     */
    public LedgerSettings {
        if (grantMillis <= 0
                || maximumNeededInMillis < 0
                || exportTimeoutMillis <= 0
                || leaseMillis <= 0
                || endedRetentionMillis <= 0
                || maximumEndedAttempts <= 0
                || maximumAnswerBytes < 0) {
            throw new IllegalArgumentException("timeouts and bounds of a ledger must be positive");
        }
    }
}
