package dev.foxtailshed.kernel.direct;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maximumHeaderBytes the maximum size of a request's header section
 * @param maximumBodyBytes the maximum size of a request body
 * @param headerTimeoutMillis the maximum time until the header section has arrived
 * @param idleTimeoutMillis how long a connection may be idle between requests
 */
public record CallerLimits(
        int maximumHeaderBytes,
        int maximumBodyBytes,
        long headerTimeoutMillis,
        long idleTimeoutMillis) {}
