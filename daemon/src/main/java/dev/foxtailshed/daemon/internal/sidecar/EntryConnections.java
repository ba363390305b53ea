package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.wire.Message.Heartbeat;
import dev.foxtailshed.wire.Message.LoadReport;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/** All connections of entries, and what is told to all of them. Confined to the executor. */
final class EntryConnections {

    private final TimerService timer;
    private final Executor executor;
    private final long reportGapMillis;
    private final Supplier<LoadReport> state;
    private final List<EntryConnection> links = new ArrayList<>();
    private boolean reportScheduled;

    EntryConnections(
            TimerService timer,
            Executor executor,
            long reportGapMillis,
            Supplier<LoadReport> state) {
        this.timer = timer;
        this.executor = executor;
        this.reportGapMillis = reportGapMillis;
        this.state = state;
    }

    void add(EntryConnection link) {
        links.add(link);
        link.sendReport(state.get(), timer.nowMillis());
    }

    void remove(EntryConnection link) {
        links.remove(link);
    }

    List<EntryConnection> all() {
        return List.copyOf(links);
    }

    void closeAllOf(long entryIncarnation) {
        for (EntryConnection link : all()) {
            if (link.peer().incarnation() == entryIncarnation) {
                link.connection().close();
            }
        }
    }

    boolean areFlushed() {
        return links.stream().allMatch(EntryConnection::isFlushed);
    }

    /** Tells a change to all entries, at once where the last report is old enough. */
    void reportChange() {
        LoadReport report = state.get();
        long waitMillis = 0;
        for (EntryConnection link : links) {
            long linkWaitMillis = link.report(report, timer.nowMillis(), reportGapMillis);
            waitMillis = Math.max(waitMillis, linkWaitMillis);
        }
        if (waitMillis > 0 && !reportScheduled) {
            reportScheduled = true;
            timer.once(waitMillis, () -> executor.execute(this::reportLate));
        }
    }

    void beat() {
        LoadReport report = state.get();
        for (EntryConnection link : links) {
            link.send(new Heartbeat(report.manifestVersion()));
            link.sendReport(report, timer.nowMillis());
        }
    }

    private void reportLate() {
        reportScheduled = false;
        reportChange();
    }
}
