package dev.foxtailshed.kernel.manifest;

import java.util.Objects;
import java.util.Optional;

/**
 * The manifest that an instance applies, with its version.
 *
 * <p>Made for atomic replacement: <code>holder.updateAndGet(now -> now.orNewer(offered))</code>
 * never goes back, in whatever order offers arrive. Immutable and thread-safe.
 *
 * @param version its version, zero for none
 * @param manifest the manifest, missing for version zero
 */
public record ManifestInForce(long version, Optional<Manifest> manifest) {

    /** The state before the first manifest. */
    public static final ManifestInForce NONE = new ManifestInForce(0, Optional.empty());

    /** Checks that version and manifest fit each other. */
    public ManifestInForce {
        Objects.requireNonNull(manifest, "manifest");
        if (version < 0 || manifest.isPresent() != (version > 0)) {
            throw new IllegalArgumentException("version does not fit the manifest: " + version);
        }
    }

    /**
     * Creates the state that applies a manifest.
     *
     * @param version its version, positive
     * @param manifest the manifest
     * @return the state
     */
    public static ManifestInForce of(long version, Manifest manifest) {
        return new ManifestInForce(version, Optional.of(manifest));
    }

    /**
     * Takes an offered manifest if it is newer.
     *
     * @param offered what is offered
     * @return the state to apply
     */
    public ManifestInForce newerOf(ManifestInForce offered) {
        return VersionGuard.shouldApply(version, offered.version) ? offered : this;
    }
}
