package dev.foxtailshed.standins.internal.proxy;

/** One direction of a proxied connection, or both. */
enum Direction {
    TO_TARGET,
    TO_CALLER,
    BOTH;

    boolean includes(Direction other) {
        return this == BOTH || this == other;
    }
}
