package dev.foxtailshed.daemon.internal.claims;

/**
 * The times and rates of a claim service.
 *
 * @param retentionMillis how long a claim is kept beyond the timeout of its call
 * @param claimTimeoutMillis how long a call waits for its claim before it is refused
 * @param writesPerSecond the number of updates that an entry may send to the object API per second
 */
public record ClaimSettings(long retentionMillis, long claimTimeoutMillis, long writesPerSecond) {

    /** Checks that all values are positive. */
    public ClaimSettings {
        if (retentionMillis <= 0 || claimTimeoutMillis <= 0 || writesPerSecond <= 0) {
            throw new IllegalArgumentException("claim settings must be positive");
        }
    }
}
