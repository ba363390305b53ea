package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.Connection.Peer;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.Message.LoadReport;
import dev.foxtailshed.wire.Message.ManifestRequest;
import java.util.Optional;

/** One connection of an entry; its state belongs to the sidecar's executor. */
final class EntryConnection {

    private final Connection connection;
    private final Peer peer;
    private Optional<LoadReport> lastReport = Optional.empty();
    private long lastReportMillis;
    private long askedVersion;

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
     * Sends a report if it tells something new.
     *
     * @return how long the report has to wait, zero if it has not
     */
    long report(LoadReport report, long nowMillis, long gapMillis) {
        if (lastReport.isPresent()) {
            if (lastReport.get().equals(report)) {
                return 0;
            }
            long waitMillis = lastReportMillis + gapMillis - nowMillis;
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

    /** Asks once for each newer version that the entry tells of. */
    void askForManifest(long heldVersion, long entryVersion) {
        if (entryVersion > heldVersion && entryVersion > askedVersion) {
            askedVersion = entryVersion;
            connection.send(new ManifestRequest(heldVersion));
        }
    }
}
