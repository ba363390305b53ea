package dev.foxtailshed.kernel.manifest;

import java.util.Objects;
import java.util.Optional;

/**
 * The manifest that an instance applies, with its version.
 *
 * <p>Intended for atomic replacement: <code>holder.updateAndGet(now -> now.newerOf(offered))</code>
 * never reverts to an older version, in whatever order manifests are offered. Immutable and
 * thread-safe.
 *
 * @param version the version of the manifest, zero for none
 * @param manifest the manifest, empty for version zero
 */
public record ManifestInForce(long version, Optional<Manifest> manifest) {

    /** The state before the first manifest. */
    public static final ManifestInForce NONE = new ManifestInForce(0, Optional.empty());

    /** Checks that a manifest is present exactly if the version is positive. */
    public ManifestInForce {
        Objects.requireNonNull(manifest, "manifest");
        if (version < 0 || manifest.isPresent() != (version > 0)) {
            throw new IllegalArgumentException("version does not fit the manifest: " + version);
        }
    }

    /**
     * Creates the state for a manifest.
     *
     * @param version the version of the manifest, positive
     * @param manifest the manifest
     * @return the state
     */
    public static ManifestInForce of(long version, Manifest manifest) {
        return new ManifestInForce(version, Optional.of(manifest));
    }

    /**
     * Returns the newer of this and an offered state.
     *
     * @param offered the offered state
     * @return the state to apply
     */
    public ManifestInForce newerOf(ManifestInForce offered) {
        return VersionGuard.shouldApply(version, offered.version) ? offered : this;
    }
}
