package dev.foxtailshed.kernel.direct;

/**
 * What a caller may send, and how long it may stay idle.
 *
 * @param maximumHeaderBytes the largest head of a request
 * @param maximumBodyBytes the largest body of a request
 * @param headerTimeoutMillis the longest time for a head to arrive
 * @param idleTimeoutMillis how long a connection may be idle between requests
 */
public record CallerLimits(
        int maximumHeaderBytes,
        int maximumBodyBytes,
        long headerTimeoutMillis,
        long idleTimeoutMillis) {}
