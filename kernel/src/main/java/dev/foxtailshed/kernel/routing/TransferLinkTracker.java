package dev.foxtailshed.kernel.routing;

/**
 * What is known of one transfer link beyond its rate in the manifest: how much of it is spoken for,
 * and how much slower than its rate it was of late.
 *
 * <p>Bytes are reserved with a decode place and released when the transfer is ordered, since from
 * then on the server reports them. The slowness seen fades with time, so that a link that was
 * mended is tried again. Thread-safe.
 */
public final class TransferLinkTracker {

    private static final double WEIGHT = 0.25;
    private static final double MOST_SLOWDOWN = 50;
    private static final double LEAST_JUDGED_MILLIS = 15;
    private static final double HANDOVER_MILLIS = 60;
    private static final double HALF_LIFE_MILLIS = 8_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private long reservedBytes;
    private double excess;
    private long seenMillis;

    /**
     * Reserves a share of the link.
     *
     * @param bytes the size of the KV cache to be transferred
     */
    public synchronized void reserve(long bytes) {
        reservedBytes += bytes;
    }

    /**
     * Releases what was reserved.
     *
     * @param bytes the size given at the reservation
     */
    public synchronized void release(long bytes) {
        reservedBytes -= bytes;
    }

    /**
     * Learns from a transfer.
     *
     * @param bytes what went over the link, the backlog before it included
     * @param bytesPerSecond the rate of the link by the manifest
     * @param tookMillis the time from the order to the first token
     * @param nowMillis the time
     */
    public synchronized void observe(
            long bytes, long bytesPerSecond, long tookMillis, long nowMillis) {
        double expectedMillis = bytes * MILLIS_PER_SECOND / Math.max(1, bytesPerSecond);
        if (expectedMillis < LEAST_JUDGED_MILLIS) {
            return;
        }
        double seen = Math.max(0, tookMillis - HANDOVER_MILLIS) / expectedMillis;
        double seenExcess = Math.max(0, Math.min(MOST_SLOWDOWN, seen) - 1);
        excess = fadedExcess(nowMillis);
        excess += WEIGHT * (seenExcess - excess);
        seenMillis = nowMillis;
    }

    /**
     * Returns the bytes that are spoken for and not reported by the server.
     *
     * @return the bytes
     */
    public synchronized long reservedBytes() {
        return reservedBytes;
    }

    /**
     * Returns how many times slower than its rate the link is believed to be.
     *
     * @param nowMillis the time
     * @return the factor, at least one
     */
    public synchronized double slowdown(long nowMillis) {
        return 1 + fadedExcess(nowMillis);
    }

    private double fadedExcess(long nowMillis) {
        return excess * Math.pow(0.5, (nowMillis - seenMillis) / HALF_LIFE_MILLIS);
    }
}
