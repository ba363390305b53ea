package dev.foxtailshed.standins.internal.proxy;

/**
 * The faults of one {@link ProxyPair}.
 *
 * @param mode the treatment of connections and their bytes
 * @param direction the direction that the faults apply to
 * @param delayMillis the added latency
 * @param bytesPerSecond the maximum rate of each connection, or 0 for no limit
 */
record ProxyFaults(Mode mode, Direction direction, double delayMillis, long bytesPerSecond) {

    static final ProxyFaults NONE = new ProxyFaults(Mode.PASS, Direction.BOTH, 0, 0);

    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final double NANOS_PER_MILLI = 1e6;

    boolean isValid() {
        return delayMillis >= 0 && bytesPerSecond >= 0;
    }

    boolean refusesConnections() {
        return mode == Mode.CUT || mode == Mode.REFUSE;
    }

    boolean isFrozen(Direction flow) {
        return mode == Mode.FREEZE && direction.includes(flow);
    }

    boolean discards(Direction flow) {
        return mode == Mode.HALF_OPEN && direction.includes(flow);
    }

    long delayNanos(Direction flow) {
        return direction.includes(flow) ? (long) (delayMillis * NANOS_PER_MILLI) : 0;
    }

    boolean isRateLimited(Direction flow) {
        return bytesPerSecond > 0 && direction.includes(flow);
    }

    long transferNanos(Direction flow, long sizeBytes) {
        return isRateLimited(flow) ? sizeBytes * NANOS_PER_SECOND / bytesPerSecond : 0;
    }

    /** The treatment of connections and their bytes. */
    enum Mode {
        /** Forwards all bytes. */
        PASS,
        /** Resets all connections and refuses new ones. */
        CUT,
        /** Delays all bytes until the mode changes. */
        FREEZE,
        /** Refuses new connections. */
        REFUSE,
        /** Accepts bytes and closes but does not forward them. */
        HALF_OPEN
    }
}
