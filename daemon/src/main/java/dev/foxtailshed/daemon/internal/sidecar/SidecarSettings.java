package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.ledger.LedgerSettings;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The settings of a sidecar.
 *
 * @param serverName the backend server's name in the manifest
 * @param listenAddress the address on which entries connect
 * @param incarnation a random number that identifies this start of the process
 * @param terms times and bounds of the ledger; its lease is that of an entry
 * @param heartbeatMillis the period of heartbeats and of the load reports of an idle sidecar
 * @param reportGapMillis the minimum time between two load reports on one connection
 * @param tickMillis the period of checks for expired leases, grants and exports
 * @param reconcileMillis the period of comparing the requests held by the engine with the ledger
 * @param maximumQueuedBytes the bytes that may be queued on a connection before reading pauses
 * @param maximumAnswerBytes the largest answer to a call that is kept for outcome queries
 */
public record SidecarSettings(
        String serverName,
        InetSocketAddress listenAddress,
        long incarnation,
        LedgerSettings terms,
        long heartbeatMillis,
        long reportGapMillis,
        long tickMillis,
        long reconcileMillis,
        long maximumQueuedBytes,
        int maximumAnswerBytes) {

    /** Checks that no object is missing. */
    public SidecarSettings {
        Objects.requireNonNull(serverName, "serverName");
        Objects.requireNonNull(listenAddress, "listenAddress");
        Objects.requireNonNull(terms, "terms");
    }
}
