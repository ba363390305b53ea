package dev.foxtailshed.daemon.internal.claims;

/**
 * The times and rates of a claim service.
 *
 * @param retentionMillis how long a claim is remembered beyond the timeout of its call
 * @param limitMillis how long a call waits for its claim before it is refused
 * @param writesPerSecond how many updates an entry sends to the object API in a second
 */
public record ClaimSettings(long retentionMillis, long limitMillis, long writesPerSecond) {

    /** Checks that all terms are positive. */
    public ClaimSettings {
        if (retentionMillis <= 0 || limitMillis <= 0 || writesPerSecond <= 0) {
            throw new IllegalArgumentException("terms of claims must be positive");
        }
    }
}
