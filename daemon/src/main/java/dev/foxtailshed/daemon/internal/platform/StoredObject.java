package dev.foxtailshed.daemon.internal.platform;

/**
 * An object read from the object API.
 *
 * @param version its version
 * @param body its bytes
 */
public record StoredObject(long version, byte[] body) {}
