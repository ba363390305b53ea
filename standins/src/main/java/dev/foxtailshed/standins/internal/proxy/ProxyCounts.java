package dev.foxtailshed.standins.internal.proxy;

/**
 * The counts of a proxy.
 *
 * <p>Not thread-safe; confined to the thread of the {@link ProxyLoop}.
 */
final class ProxyCounts {

    long accepted;
    long refused;
    long reset;
    long open;
    long bytesToTarget;
    long bytesToCaller;
    long bytesSwallowed;

    void addPassed(Direction direction, long sizeBytes) {
        if (direction == Direction.TO_TARGET) {
            bytesToTarget += sizeBytes;
        } else {
            bytesToCaller += sizeBytes;
        }
    }

    Snapshot snapshot() {
        return new Snapshot(
                accepted, refused, reset, open, bytesToTarget, bytesToCaller, bytesSwallowed);
    }

    /** An immutable copy of the counts, written as JSON. */
    record Snapshot(
            long accepted,
            long refused,
            long reset,
            long open,
            long bytesToTarget,
            long bytesToCaller,
            long bytesSwallowed) {}
}
