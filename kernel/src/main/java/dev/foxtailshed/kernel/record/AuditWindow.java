package dev.foxtailshed.kernel.record;

/**
 * The range of requests and runs that an audit compares.
 *
 * @param fromEpochMillis the earliest end time of a request or run, inclusive
 * @param toEpochMillis the latest end time of a request or run, exclusive
 * @param nowEpochMillis the time at which the record was read
 */
public record AuditWindow(long fromEpochMillis, long toEpochMillis, long nowEpochMillis) {

    /** Instances write their batches within seconds; the rest allows for a slow platform. */
    private static final long RECENT_MILLIS = 120_000;

    /**
     * Returns an unbounded window.
     *
     * @param nowEpochMillis the time at which the record was read
     * @return the window
     */
    public static AuditWindow all(long nowEpochMillis) {
        return new AuditWindow(0, Long.MAX_VALUE, nowEpochMillis);
    }

    boolean contains(long endedEpochMillis) {
        return fromEpochMillis <= endedEpochMillis && endedEpochMillis < toEpochMillis;
    }

    boolean isRecent(long endedEpochMillis) {
        return nowEpochMillis - endedEpochMillis < RECENT_MILLIS;
    }
}
