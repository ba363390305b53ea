package dev.foxtailshed.daemon.internal.sidecarrole;

import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.record.RecordWriter;
import dev.foxtailshed.daemon.internal.sidecar.PoolLimits;
import dev.foxtailshed.daemon.internal.sidecar.SidecarEvents;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.record.RunRecord;
import dev.foxtailshed.wire.Connection.Peer;
import java.net.InetSocketAddress;
import java.time.Clock;

/** Writes the events of a sidecar to the event log and its runs to the record. Thread-safe. */
final class LoggingSidecarEvents implements SidecarEvents {

    private final RecordWriter recorder;
    private final Clock clock;

    LoggingSidecarEvents(RecordWriter recorder, Clock clock) {
        this.recorder = recorder;
        this.clock = clock;
    }

    @Override
    public void workEnded(AttemptId id, String kind, Verdict verdict, String code) {
        recorder.add(new RunRecord(id.label(), kind, clock.millis(), verdict, code));
    }

    @Override
    public void started(InetSocketAddress address) {
        // The daemon logs this for every role.
    }

    @Override
    public void entryConnected(Peer entry) {
        EventLog.log(EventCode.ENTRY_CONNECTED, Field.of("entry", entry.name()));
    }

    @Override
    public void entryDisconnected(Peer entry, String reason) {
        EventLog.log(
                EventCode.ENTRY_DISCONNECTED,
                Field.of("entry", entry.name()),
                Field.of("reason", reason));
    }

    @Override
    public void protocolViolated(Peer entry, String reason) {
        EventLog.log(
                EventCode.PROTOCOL_VIOLATED,
                Field.of("entry", entry.name()),
                Field.of("reason", reason));
    }

    @Override
    public void leaseExpired(long entryIncarnation) {
        EventLog.log(
                EventCode.ENTRY_GONE,
                Field.of("entryIncarnation", Long.toHexString(entryIncarnation)));
    }

    @Override
    public void grantExpired(AttemptId id) {
        EventLog.log(EventCode.GRANT_LAPSED, Field.of("attempt", id.label()));
    }

    @Override
    public void workFailed(AttemptId id, RequestFailure failure) {
        EventLog.log(
                EventCode.BACKEND_FAILED,
                Field.of("attempt", id.label()),
                Field.of("code", failure.code().label()),
                Field.of("verdict", failure.verdict().label()),
                Field.of("message", failure.message()));
    }

    @Override
    public void orphanReleased(String requestId) {
        EventLog.log(EventCode.ORPHAN_CANCELLED, Field.of("request", requestId));
    }

    @Override
    public void backendUnreachable(String reason) {
        EventLog.log(EventCode.BACKEND_UNREACHABLE, Field.of("reason", reason));
    }

    @Override
    public void manifestApplied(long version, PoolLimits limits) {
        EventLog.log(
                EventCode.MANIFEST_APPLIED,
                Field.of("version", version),
                Field.of("limits", limits));
    }

    @Override
    public void manifestRejected(long version, String reason) {
        EventLog.log(
                EventCode.MANIFEST_UNREADABLE,
                Field.of("version", version),
                Field.of("problem", reason));
    }

    @Override
    public void drainStarted() {
        // The daemon logs this for every role.
    }

    @Override
    public void drainFinished() {
        // The daemon logs this for every role.
    }
}
