package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.ledger.LedgerSettings;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * What a sidecar is told when it starts.
 *
 * @param serverName the backend server's name in the manifest
 * @param listenAddress where entries connect
 * @param incarnation the random number of this start
 * @param terms times and bounds of the ledger; its lease is that of an entry
 * @param heartbeatMillis the time between two heartbeats and load reports of an idle sidecar
 * @param reportGapMillis the least time between two load reports on one connection
 * @param tickMillis how often lapses are looked for
 * @param reconcileMillis how often the engine is asked what it holds
 * @param maximumQueuedBytes how much of its answers may wait on a connection before reading stops
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

    /** Checks that no part is missing. */
    public SidecarSettings {
        Objects.requireNonNull(serverName, "serverName");
        Objects.requireNonNull(listenAddress, "listenAddress");
        Objects.requireNonNull(terms, "terms");
    }
}
