package dev.foxtailshed.daemon.internal.claims;

/**
 * Spaces the updates of all shards of one entry over time. Time slots that were not used within the
 * last {@code BURST_MILLIS} may be used at once. Thread-safe.
 */
final class WriteRateLimiter {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long BURST_MILLIS = 200;

    private final long intervalMicros;
    private long nextMicros;

    WriteRateLimiter(long writesPerSecond, long nowMillis) {
        this.nextMicros = (nowMillis - BURST_MILLIS) * MICROS_PER_MILLI;
        this.intervalMicros = MILLIS_PER_SECOND * MICROS_PER_MILLI / writesPerSecond;
    }

    /**
     * Reserves a time slot for one update.
     *
     * @return the milliseconds to wait before the update, zero if it may be sent now
     */
    synchronized long reserve(long nowMillis) {
        long earliestMicros = (nowMillis - BURST_MILLIS) * MICROS_PER_MILLI;
        nextMicros = Math.max(nextMicros, earliestMicros) + intervalMicros;
        return Math.max(0, nextMicros / MICROS_PER_MILLI - nowMillis);
    }
}
