package dev.foxtailshed.daemon.internal.sidecar;

import io.vavr.control.Either;

/** Reads the limits of one backend server from a manifest. Implementations are thread-safe. */
public interface ManifestLimits {

    /**
     * Reads the limits from a manifest.
     *
     * @param document the manifest as JSON in UTF-8
     * @return the limits, {@link PoolLimits#NONE} if the manifest does not name the server, or the
     *     reason why the document cannot be used
     */
    Either<String, PoolLimits> read(byte[] document);
}
