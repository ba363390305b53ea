package dev.foxtailshed.kernel.routing;

/**
 * Tracks the load of one transfer link: the bytes reserved on it, and how much slower than its rate
 * in the manifest it recently was.
 *
 * <p>Bytes are reserved together with a decode server and released when the transfer is started,
 * because from then on the server reports them. The observed slowdown decays with time, so that a
 * link that has recovered is used again. Thread-safe.
 */
public final class TransferLinkTracker {

    private static final double SMOOTHING_FACTOR = 0.25;
    private static final double MAXIMUM_SLOWDOWN = 50;
    private static final double MINIMUM_MEASURED_MILLIS = 15;

    /** The part of the measured time that is not spent on the transfer itself. */
    private static final double OVERHEAD_MILLIS = 60;

    private static final double HALF_LIFE_MILLIS = 8_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private long reservedBytes;
    private double excessSlowdown;
    private long observedAtMillis;

    /**
     * Adds the bytes of a future transfer to the reserved ones.
     *
     * @param bytes the size of the KV cache to be transferred
     */
    public synchronized void reserve(long bytes) {
        reservedBytes += bytes;
    }

    /**
     * Removes a reservation of bytes.
     *
     * @param bytes the size that was reserved
     */
    public synchronized void release(long bytes) {
        reservedBytes -= bytes;
    }

    /**
     * Updates the slowdown from a completed transfer. Transfers too short to be measured are
     * ignored.
     *
     * @param bytes the bytes sent over the link, including the backlog ahead of the transfer
     * @param bytesPerSecond the rate of the link in the manifest
     * @param tookMillis the time from the decode commit to the first token
     * @param nowMillis the current time
     */
    public synchronized void observe(
            long bytes, long bytesPerSecond, long tookMillis, long nowMillis) {
        double expectedMillis = bytes * MILLIS_PER_SECOND / Math.max(1, bytesPerSecond);
        if (expectedMillis < MINIMUM_MEASURED_MILLIS) {
            return;
        }
        double observedSlowdown = Math.max(0, tookMillis - OVERHEAD_MILLIS) / expectedMillis;
        double observedExcess = Math.max(0, Math.min(MAXIMUM_SLOWDOWN, observedSlowdown) - 1);
        excessSlowdown = decayedExcess(nowMillis);
        excessSlowdown += SMOOTHING_FACTOR * (observedExcess - excessSlowdown);
        observedAtMillis = nowMillis;
    }

    /**
     * Returns the reserved bytes, which the server does not report yet.
     *
     * @return the total size of all reservations
     */
    public synchronized long reservedBytes() {
        return reservedBytes;
    }

    /**
     * Returns the estimated slowdown of the link.
     *
     * @param nowMillis the current time
     * @return the factor by which the link is slower than its rate, at least one
     */
    public synchronized double slowdown(long nowMillis) {
        return 1 + decayedExcess(nowMillis);
    }

    private double decayedExcess(long nowMillis) {
        return excessSlowdown * Math.pow(0.5, (nowMillis - observedAtMillis) / HALF_LIFE_MILLIS);
    }
}
