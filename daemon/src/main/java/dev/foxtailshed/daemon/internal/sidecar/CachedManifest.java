package dev.foxtailshed.daemon.internal.sidecar;

/**
 * The newest manifest that a sidecar has received.
 *
 * @param version its version, zero if there is none
 * @param document the bytes to send to entries
 * @param limits the limits of this backend server
 */
record CachedManifest(long version, byte[] document, PoolLimits limits) {

    static final CachedManifest NONE = new CachedManifest(0, new byte[0], PoolLimits.NONE);
}
