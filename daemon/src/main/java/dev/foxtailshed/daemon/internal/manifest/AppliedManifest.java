package dev.foxtailshed.daemon.internal.manifest;

import dev.foxtailshed.kernel.manifest.ManifestInForce;

/**
 * A manifest that an instance applies, with its original bytes.
 *
 * @param inForce its version and content
 * @param document its bytes as submitted
 * @param sinceEpochMillis the time at which the instance began to apply it, zero before the first
 *     manifest
 */
public record AppliedManifest(ManifestInForce inForce, byte[] document, long sinceEpochMillis) {

    /** The state before the first manifest. */
    static final AppliedManifest NONE = new AppliedManifest(ManifestInForce.NONE, new byte[0], 0);

    /**
     * Returns the version of the manifest.
     *
     * @return the version, zero before the first manifest
     */
    public long version() {
        return inForce.version();
    }

    /** Returns the offered manifest if it is newer, else this one. */
    AppliedManifest newerOf(AppliedManifest offered) {
        return inForce.newerOf(offered.inForce) == offered.inForce ? offered : this;
    }
}
