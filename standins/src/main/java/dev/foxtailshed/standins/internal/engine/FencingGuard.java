package dev.foxtailshed.standins.internal.engine;

/** Refuses fencing numbers below the highest one received. Thread-safe. */
final class FencingGuard {

    private final boolean enabled;
    private long highest = Long.MIN_VALUE;

    FencingGuard(boolean enabled) {
        this.enabled = enabled;
    }

    synchronized boolean tryAccept(long number) {
        if (!enabled) {
            return true;
        }
        highest = Math.max(highest, number);
        return number == highest;
    }
}
