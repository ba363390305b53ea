package dev.foxtailshed.kernel.manifest;

/**
 * A backend server.
 *
 * @param name the name of the server, under which the platform's instance list contains its sidecar
 * @param pool the name of its pool
 * @param zone the name of its availability zone
 * @param checksFencing whether it rejects requests with an outdated fencing number
 */
public record BackendServer(String name, String pool, String zone, boolean checksFencing) {}
