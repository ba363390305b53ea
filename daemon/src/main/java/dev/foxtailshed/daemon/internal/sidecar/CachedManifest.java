package dev.foxtailshed.daemon.internal.sidecar;

/**
 * The newest manifest that a sidecar has seen.
 *
 * @param version its version, zero for none
 * @param document the document, to hand on to entries
 * @param limits the limits of this backend server
 */
record CachedManifest(long version, byte[] document, PoolLimits limits) {

    static final CachedManifest NONE = new CachedManifest(0, new byte[0], PoolLimits.NONE);
}
