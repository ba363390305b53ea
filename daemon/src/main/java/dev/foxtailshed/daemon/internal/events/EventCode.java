package dev.foxtailshed.daemon.internal.events;

import org.tinylog.Level;

/** The catalogue of events; docs/EVENTS.md lists the same and a test compares the two. */
public enum EventCode {
    /** The role serves. */
    READY(1001, Level.INFO, "The role serves."),
    /** Shutdown began. */
    DRAINING(1002, Level.INFO, "Shutdown began: no new work is taken."),
    /** Shutdown is over. */
    STOPPED(1003, Level.INFO, "Everything in flight has finished; the process ends."),
    /** Drain did not finish in time. */
    DRAIN_EXPIRED(1004, Level.WARN, "Work was still in flight at the end of the drain time."),
    /** Health and metrics are served. */
    HTTP_READY(1005, Level.INFO, "Health and metrics are served."),
    /** A manifest took hold. */
    SETTINGS_RELOADED(1006, Level.INFO, "The settings file was read again and is in force."),
    SETTINGS_REJECTED(1007, Level.ERROR, "The settings file is bad; the last good one stays."),
    MANIFEST_APPLIED(2001, Level.INFO, "A newer manifest is in force at this instance."),
    /** A manifest could not be applied. */
    MANIFEST_UNREADABLE(2002, Level.ERROR, "A newer manifest could not be read; the old stays."),
    /** A manifest was accepted here. */
    MANIFEST_ACCEPTED(2003, Level.INFO, "A submitted manifest was accepted."),
    /** A submitted manifest was refused. */
    MANIFEST_REFUSED(2004, Level.WARN, "A submitted manifest was refused."),
    /** An older manifest was offered. */
    MANIFEST_STALE(2005, Level.INFO, "An older manifest was offered and ignored."),
    /** The object API does not answer. */
    STORE_UNAVAILABLE(3001, Level.WARN, "The platform's object API does not answer."),
    /** The object API answers again. */
    STORE_AVAILABLE(3002, Level.INFO, "The platform's object API answers again."),
    STORE_HISTORY_GONE(3004, Level.INFO, "The store's history is gone; the list is read anew."),
    STORE_ENTRY_UNREADABLE(3005, Level.WARN, "An entry of the store cannot be read; ignored."),
    MEMBERSHIP_CHANGED(2301, Level.INFO, "The number of live entries changed."),
    MEMBERSHIP_NOT_WRITTEN(2302, Level.WARN, "This entry's record could not be written."),
    PEER_ANSWERED(2303, Level.INFO, "A peer told what the store could not be asked for."),
    PEER_UNREADABLE(2304, Level.WARN, "The answer of a peer cannot be read; ignored."),
    ROUTES_APPLIED(2101, Level.INFO, "A newer routing configuration is in force here."),
    ROUTES_UNREADABLE(2102, Level.ERROR, "A routing configuration is unreadable; the old stays."),
    SERVER_USABLE(2201, Level.INFO, "A backend server may get requests, or changed."),
    SERVER_LEFT(2202, Level.INFO, "A backend server gets no new requests any more."),
    /** A shard of claims is damaged. */
    CLAIMS_UNREADABLE(3003, Level.ERROR, "A shard of claims is damaged; its calls are refused."),
    /** A repeated write of a batch of the record was refused: the first had taken effect. */
    RECORD_WRITE_SETTLED(3101, Level.INFO, "A batch of the record had been written before."),
    /** The record could not be closed. */
    RECORD_NOT_CLOSED(3102, Level.WARN, "The last batch of the record could not be written."),
    /** A connection opened. */
    LINK_OPENED(4001, Level.INFO, "A connection to a sidecar was established."),
    /** A connection closed. */
    LINK_CLOSED(4002, Level.WARN, "A connection to a sidecar was lost."),
    /** A sidecar restarted. */
    SIDECAR_RESTARTED(4003, Level.WARN, "A sidecar came back with another incarnation."),
    /** An entry connected to this sidecar. */
    ENTRY_CONNECTED(4101, Level.INFO, "An entry connected to this sidecar."),
    /** An entry's lease lapsed or its connection closed. */
    ENTRY_GONE(4102, Level.WARN, "An entry is gone; its work here is cancelled."),
    /** Work of an unknown owner was cancelled. */
    ORPHAN_CANCELLED(4103, Level.WARN, "The engine ran work that no live entry owns; cancelled."),
    /** The backend server failed. */
    BACKEND_FAILED(4104, Level.WARN, "A call to the backend server failed."),
    /** A connection of an entry closed. */
    ENTRY_DISCONNECTED(4106, Level.INFO, "The connection of an entry closed."),
    /** An entry broke the protocol. */
    PROTOCOL_VIOLATED(4107, Level.WARN, "An entry broke the protocol; its connection is closed."),
    /** A granted place was not used in time. */
    GRANT_LAPSED(4108, Level.INFO, "A granted place lapsed before the order came."),
    /** The backend server does not answer. */
    BACKEND_UNREACHABLE(4109, Level.WARN, "The backend server does not answer."),
    /** Another sidecar gives the orders by now. */
    SIDECAR_REPLACED(4110, Level.WARN, "A successor drew a fencing number; no orders any more."),
    /** A request failed. */
    LEASE_TAKEN(4201, Level.INFO, "This entry holds the lease for orders to model servers."),
    LEASE_REFUSED(4202, Level.INFO, "Another entry holds the lease for orders."),
    STAGE_ORDERED(4203, Level.INFO, "A model server was ordered to change its stage."),
    REQUEST_FAILED(5001, Level.INFO, "A request ended with an error."),
    /** A request was retried. */
    REQUEST_RETRIED(5002, Level.INFO, "A request goes on with another attempt."),
    /** A caller went away. */
    CALLER_GONE(5003, Level.INFO, "The caller went away; its work is cancelled."),
    /** A request is suspected of crashing servers. */
    ATTEMPT_FAILED(5006, Level.INFO, "An attempt at a backend server failed."),
    STREAM_STARTED(5007, Level.INFO, "A model server sent the first event of a stream."),
    STREAM_ENDED(5008, Level.INFO, "A stream of a model server ended as complete."),
    REQUEST_REFUSED(5009, Level.INFO, "A request was refused before a server was chosen."),
    SUSPECT_NOTED(5004, Level.WARN, "A backend server crashed while it ran this request."),
    /** A suspect was refused. */
    SUSPECT_REFUSED(5005, Level.WARN, "A request that crashed two backend servers was refused."),
    /** An unexpected exception. */
    INTERNAL_ERROR(9001, Level.ERROR, "An unexpected exception; please report it."),
    LINES_DROPPED(9002, Level.WARN, "Log lines were dropped, since their reader stalled.");

    private final int number;
    private final Level level;
    private final String meaning;

    EventCode(int number, Level level, String meaning) {
        this.number = number;
        this.level = level;
        this.meaning = meaning;
    }

    /**
     * Returns the number, which never changes its meaning.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Returns the severity.
     *
     * @return the level
     */
    public Level level() {
        return level;
    }

    /**
     * Returns one sentence for people.
     *
     * @return the sentence
     */
    public String meaning() {
        return meaning;
    }
}
