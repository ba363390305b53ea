package dev.foxtailshed.kernel.ledger;

/**
 * The times and bounds of a ledger, which stay as they are for its whole life.
 *
 * @param grantMillis how long a grant stands beyond the time at which its place is needed
 * @param maximumNeededInMillis the longest wait for a needed place that is honoured
 * @param exportTimeoutMillis how long an export is held that nobody cancels
 * @param leaseMillis how long an entry is believed alive after its last message
 * @param endedRetentionMillis how long ended attempts are remembered
 * @param maximumEndedAttempts how many ended attempts are remembered
 * @param maximumAnswerBytes how many bytes of stored answers are kept
 */
public record LedgerSettings(
        long grantMillis,
        long maximumNeededInMillis,
        long exportTimeoutMillis,
        long leaseMillis,
        long endedRetentionMillis,
        int maximumEndedAttempts,
        long maximumAnswerBytes) {

    /** Checks that all terms are positive. */
    public LedgerSettings {
        if (grantMillis <= 0
                || maximumNeededInMillis < 0
                || exportTimeoutMillis <= 0
                || leaseMillis <= 0
                || endedRetentionMillis <= 0
                || maximumEndedAttempts <= 0
                || maximumAnswerBytes < 0) {
            throw new IllegalArgumentException("terms of a ledger must be positive");
        }
    }
}
