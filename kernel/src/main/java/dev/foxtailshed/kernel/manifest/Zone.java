package dev.foxtailshed.kernel.manifest;

/**
 * An availability zone.
 *
 * @param name the name of the zone
 */
public record Zone(String name) {}
