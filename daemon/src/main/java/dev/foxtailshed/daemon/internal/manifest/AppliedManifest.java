package dev.foxtailshed.daemon.internal.manifest;

import dev.foxtailshed.kernel.manifest.ManifestInForce;

/**
 * A manifest that an instance applies, with the bytes to hand on.
 *
 * @param inForce its version and content
 * @param document its bytes as submitted
 * @param sinceEpochMillis when the instance began to apply it, zero before the first
 */
public record AppliedManifest(ManifestInForce inForce, byte[] document, long sinceEpochMillis) {

    /** The state before the first manifest. */
    static final AppliedManifest NONE = new AppliedManifest(ManifestInForce.NONE, new byte[0], 0);

    /**
     * Returns the version.
     *
     * @return the version, zero before the first
     */
    public long version() {
        return inForce.version();
    }

    /** Takes an offered manifest if it is newer. */
    AppliedManifest newerOf(AppliedManifest offered) {
        return inForce.newerOf(offered.inForce) == offered.inForce ? offered : this;
    }
}
