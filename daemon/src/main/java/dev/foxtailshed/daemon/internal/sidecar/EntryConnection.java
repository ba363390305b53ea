package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.Connection.Peer;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.Message.LoadReport;
import dev.foxtailshed.wire.Message.ManifestRequest;
import java.util.Optional;

/** A connection of an entry and what was last sent on it. Confined to the sidecar's executor. */
final class EntryConnection {

    private final Connection connection;
    private final Peer peer;
    private Optional<LoadReport> lastReport = Optional.empty();
    private long lastReportMillis;
    private long requestedVersion;

    EntryConnection(Connection connection, Peer peer) {
        this.connection = connection;
        this.peer = peer;
    }

    Connection connection() {
        return connection;
    }

    Peer peer() {
        return peer;
    }

    boolean send(Message message) {
        return connection.send(message);
    }

    boolean isFlushed() {
        return !connection.isOpen() || connection.queuedBytes() == 0;
    }

    /**
     * Sends a load report if it differs from the last one and the minimum gap has passed.
     *
     * @return the milliseconds to wait before the report may be sent, zero if nothing has to wait
     */
    long sendReportIfChanged(LoadReport report, long nowMillis, long minimumGapMillis) {
        if (lastReport.isPresent()) {
            if (lastReport.get().equals(report)) {
                return 0;
            }
            long waitMillis = lastReportMillis + minimumGapMillis - nowMillis;
            if (waitMillis > 0) {
                return waitMillis;
            }
        }
        sendReport(report, nowMillis);
        return 0;
    }

    void sendReport(LoadReport report, long nowMillis) {
        lastReport = Optional.of(report);
        lastReportMillis = nowMillis;
        connection.send(report);
    }

    /**
     * Requests the manifest from the entry, once for each newer version that the entry announces.
     */
    void requestManifest(long heldVersion, long entryVersion) {
        if (entryVersion > heldVersion && entryVersion > requestedVersion) {
            requestedVersion = entryVersion;
            connection.send(new ManifestRequest(heldVersion));
        }
    }
}
