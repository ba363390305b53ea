package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.wire.Message.Heartbeat;
import dev.foxtailshed.wire.Message.LoadReport;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * All connections of entries. Sends heartbeats and load reports on them. Confined to the sidecar's
 * executor.
 */
final class EntryConnections {

    private final TimerService timer;
    private final Executor executor;
    private final long reportGapMillis;
    private final Supplier<LoadReport> currentReport;
    private final List<EntryConnection> connections = new ArrayList<>();
    private boolean reportScheduled;

    EntryConnections(
            TimerService timer,
            Executor executor,
            long reportGapMillis,
            Supplier<LoadReport> currentReport) {
        this.timer = timer;
        this.executor = executor;
        this.reportGapMillis = reportGapMillis;
        this.currentReport = currentReport;
    }

    void add(EntryConnection entry) {
        connections.add(entry);
        entry.sendReport(currentReport.get(), timer.nowMillis());
    }

    void remove(EntryConnection entry) {
        connections.remove(entry);
    }

    List<EntryConnection> all() {
        return List.copyOf(connections);
    }

    void closeAllOf(long entryIncarnation) {
        for (EntryConnection entry : all()) {
            if (entry.peer().incarnation() == entryIncarnation) {
                entry.connection().close();
            }
        }
    }

    boolean areFlushed() {
        return connections.stream().allMatch(EntryConnection::isFlushed);
    }

    /**
     * Reports changed load to all entries: at once on connections whose last report is old enough,
     * on the others when the minimum gap has passed.
     */
    void reportChange() {
        LoadReport report = currentReport.get();
        long waitMillis = 0;
        for (EntryConnection entry : connections) {
            long entryWaitMillis =
                    entry.sendReportIfChanged(report, timer.nowMillis(), reportGapMillis);
            waitMillis = Math.max(waitMillis, entryWaitMillis);
        }
        if (waitMillis > 0 && !reportScheduled) {
            reportScheduled = true;
            timer.once(waitMillis, () -> executor.execute(this::reportDelayed));
        }
    }

    void sendHeartbeats() {
        LoadReport report = currentReport.get();
        for (EntryConnection entry : connections) {
            entry.send(new Heartbeat(report.manifestVersion()));
            entry.sendReport(report, timer.nowMillis());
        }
    }

    private void reportDelayed() {
        reportScheduled = false;
        reportChange();
    }
}
