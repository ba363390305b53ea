package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.manifest.BackendServer;
import dev.foxtailshed.kernel.manifest.Manifest;
import dev.foxtailshed.kernel.manifest.ManifestReader;
import io.vavr.control.Either;
import java.util.Objects;

/**
 * Reads the limits of a backend server from its pool in the manifest. Immutable and thread-safe.
 */
public final class PoolLimitsReader implements ManifestLimits {

    private final String serverName;

    /**
     * Creates a reader.
     *
     * @param serverName the backend server's name in the manifest
     */
    public PoolLimitsReader(String serverName) {
        this.serverName = Objects.requireNonNull(serverName, "serverName");
    }

    @Override
    public Either<String, PoolLimits> read(byte[] document) {
        return new ManifestReader()
                .read(document)
                .mapLeft(problems -> problems.get(0).toString())
                .map(this::limits);
    }

    private PoolLimits limits(Manifest manifest) {
        return manifest.server(serverName)
                .map(BackendServer::pool)
                .flatMap(manifest::pool)
                .map(pool -> new PoolLimits(pool.requestSlots(), pool.kvPieces()))
                .orElse(PoolLimits.NONE);
    }
}
