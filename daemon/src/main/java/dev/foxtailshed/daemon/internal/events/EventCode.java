package dev.foxtailshed.daemon.internal.events;

import org.tinylog.Level;

/**
 * The catalogue of log events.
 *
 * <p>The same list is in docs/EVENTS.md; a test compares the two.
 */
public enum EventCode {
    READY(1001, Level.INFO, "The role is ready to serve."),
    DRAINING(1002, Level.INFO, "Shutdown began: no new work is accepted."),
    STOPPED(1003, Level.INFO, "Shutdown has finished; the process ends."),
    DRAIN_EXPIRED(1004, Level.WARN, "Work was still in flight when the drain time ended."),
    HTTP_READY(1005, Level.INFO, "The HTTP server for health and metrics is listening."),
    SETTINGS_RELOADED(1006, Level.INFO, "The settings file was reloaded and is in force."),
    SETTINGS_REJECTED(
            1007, Level.ERROR, "The settings file is invalid; the previous settings stay."),
    MANIFEST_APPLIED(2001, Level.INFO, "A newer manifest is in force at this instance."),
    MANIFEST_UNREADABLE(
            2002, Level.ERROR, "A newer manifest cannot be read; the previous one stays."),
    MANIFEST_ACCEPTED(2003, Level.INFO, "A submitted manifest was accepted."),
    MANIFEST_REFUSED(2004, Level.WARN, "A submitted manifest was refused."),
    MANIFEST_STALE(2005, Level.INFO, "A manifest no newer than the one in force was ignored."),
    STORE_UNAVAILABLE(3001, Level.WARN, "The platform's store is unavailable."),
    STORE_AVAILABLE(3002, Level.INFO, "The platform's store is available again."),
    STORE_HISTORY_GONE(
            3004, Level.INFO, "The requested history is no longer in the store; listing again."),
    STORE_ENTRY_UNREADABLE(
            3005, Level.WARN, "An entry of the store cannot be read and is ignored."),
    STORE_RESTORED(
            3006, Level.WARN, "The store was restored from a copy and lost its latest changes."),
    STORE_LIST_UNREADABLE(
            3007,
            Level.ERROR,
            "A list of the store cannot be read; nothing new is known until it can."),
    MEMBERSHIP_CHANGED(2301, Level.INFO, "The number of live entries changed."),
    MEMBERSHIP_NOT_WRITTEN(
            2302, Level.WARN, "This entry's membership record could not be written."),
    /** Logged if the revision of the other entry is newer than the one known here. */
    PEER_ANSWERED(
            2303, Level.INFO, "Data was read from another entry since the store is unavailable."),
    PEER_UNREADABLE(
            2304, Level.WARN, "The response of another entry cannot be read and is ignored."),
    WORKSPACES_UNREADABLE(
            2305, Level.WARN, "A part of the workspaces cannot be used; the others are in force."),
    ROUTES_APPLIED(2101, Level.INFO, "A newer routing configuration is in force at this entry."),
    ROUTES_UNREADABLE(
            2102, Level.ERROR, "A routing configuration cannot be read; the previous one stays."),
    ROUTES_PART_UNUSABLE(
            2103,
            Level.WARN,
            "A part of the routing configuration cannot be used; the others are in force."),
    SERVER_USABLE(
            2201, Level.INFO, "A backend server that can receive requests was added or changed."),
    SERVER_LEFT(2202, Level.INFO, "A backend server receives no more new requests."),
    SERVER_LIMITED(2203, Level.INFO, "A backend server named the request rate that it takes."),
    SERVER_UNLIMITED(2204, Level.INFO, "A backend server no longer names a request rate."),
    SERVER_LIMIT_UNREADABLE(
            2205, Level.WARN, "A backend server named a request rate that is not a number."),
    SERVER_SAID_LEAVING(
            2206, Level.INFO, "A response of a backend server said that the server is leaving."),
    CLAIMS_UNREADABLE(
            3003, Level.ERROR, "A shard of claims cannot be read; its calls are refused."),
    /** The retried write was refused because the object already exists. */
    RECORD_WRITE_SETTLED(
            3101, Level.INFO, "An earlier write of a batch of the record had taken effect."),
    RECORD_NOT_CLOSED(3102, Level.WARN, "The last batch of the record could not be written."),
    LINK_OPENED(4001, Level.INFO, "A connection to a sidecar was established."),
    LINK_CLOSED(4002, Level.WARN, "A connection to a sidecar was lost."),
    SIDECAR_RESTARTED(4003, Level.WARN, "A sidecar reconnected with another incarnation."),
    ENTRY_CONNECTED(4101, Level.INFO, "An entry connected to this sidecar."),
    ENTRY_GONE(4102, Level.WARN, "An entry's lease expired; its work here is cancelled."),
    ORPHAN_CANCELLED(4103, Level.WARN, "Work at the engine that no live entry owns was cancelled."),
    BACKEND_FAILED(4104, Level.WARN, "A call to the backend server failed."),
    ENTRY_DISCONNECTED(4106, Level.INFO, "An entry's connection closed."),
    PROTOCOL_VIOLATED(
            4107, Level.WARN, "An entry violated the protocol; its connection is closed."),
    GRANT_LAPSED(4108, Level.INFO, "A grant expired before it was committed."),
    BACKEND_UNREACHABLE(4109, Level.WARN, "The backend server does not respond."),
    SIDECAR_REPLACED(
            4110, Level.WARN, "A newer sidecar controls the server; this one sends no commands."),
    LEASE_TAKEN(4201, Level.INFO, "This entry holds the lease for stage changes of model servers."),
    /** Another entry holds the lease, or the store could not be read or written. */
    LEASE_REFUSED(4202, Level.INFO, "This entry did not obtain the lease for stage changes."),
    STAGE_ORDERED(4203, Level.INFO, "A command to change its stage was sent to a model server."),
    /** The process was probably paused between the grant and the command. */
    LEASE_EXPIRED(
            4204, Level.WARN, "The lease expired before the command; the command was not sent."),
    /** The other entry finds out by refused runs. */
    NOTICE_NOT_DELIVERED(
            4205, Level.INFO, "A notice of a stage change did not reach another entry."),
    CRASH_NOTICE_NOT_DELIVERED(4206, Level.WARN, "A crash notice did not reach another entry."),
    CREDIT_NOT_TRANSFERRED(
            4207, Level.INFO, "A transfer of credit between entries failed; its credit is lost."),
    REQUEST_FAILED(5001, Level.INFO, "A request ended with an error."),
    REQUEST_RETRIED(5002, Level.INFO, "A request is retried with another attempt."),
    CALLER_GONE(5003, Level.INFO, "The caller disconnected; its request is cancelled."),
    ATTEMPT_FAILED(5006, Level.INFO, "An attempt at a backend server failed."),
    STREAM_STARTED(5007, Level.INFO, "A model server sent the first event of a stream."),
    STREAM_ENDED(5008, Level.INFO, "A stream of a model server was completed."),
    STREAM_BROKEN(5010, Level.INFO, "A stream broke off after its response had started."),
    SERVER_CRASHED(
            5015,
            Level.WARN,
            "A server crashed before it began to answer the requests with these traits."),
    CRASH_PATTERN_FOUND(
            5011, Level.WARN, "Requests with all these traits are kept away from servers."),
    CRASH_PATTERN_REFUTED(
            5012,
            Level.INFO,
            "An answer to a request with one of these traits shows that it is not to blame."),
    CRASH_PATTERN_MATCHED(
            5013,
            Level.INFO,
            "A request was refused, since requests with these traits crash servers."),
    CRASH_PATTERN_TRIAL(
            5014, Level.WARN, "A request may run to find out whether it still crashes servers."),
    API_KEY_UNKNOWN(
            5016,
            Level.INFO,
            "A request was refused, since no workspace has the key that it carries."),
    WORKSPACE_AT_LIMIT(
            5017, Level.INFO, "Requests of a workspace were rejected, since it has no credit."),
    SECOND_RESERVATION_REFUSED(
            5018, Level.ERROR, "A request that has a reservation got another, which is released."),
    REQUEST_REFUSED(5009, Level.INFO, "A request was refused before a server was chosen."),
    SUSPECT_NOTED(5004, Level.WARN, "A backend server crashed while it ran this request."),
    SUSPECT_REFUSED(
            5005, Level.WARN, "A request suspected of crashing two backend servers was refused."),
    /** Logged with the exception; indicates a fault in this program. */
    INTERNAL_ERROR(9001, Level.ERROR, "An unexpected exception occurred."),
    LOOP_STALLED(9003, Level.ERROR, "A loop that this entry needs runs nothing; it is not ready."),
    LINES_DROPPED(9002, Level.WARN, "Log lines were dropped because standard output was blocked.");

    private final int number;
    private final Level level;
    private final String meaning;

    EventCode(int number, Level level, String meaning) {
        this.number = number;
        this.level = level;
        this.meaning = meaning;
    }

    /**
     * Returns the number of the event, which never changes.
     *
     * @return the number, unique among all events
     */
    public int number() {
        return number;
    }

    /**
     * Returns the severity at which the event is logged.
     *
     * @return one of INFO, WARN and ERROR
     */
    public Level level() {
        return level;
    }

    /**
     * Returns what the event means, as listed in the catalogue.
     *
     * @return one English sentence
     */
    public String meaning() {
        return meaning;
    }
}
