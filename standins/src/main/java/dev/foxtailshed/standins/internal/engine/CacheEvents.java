package dev.foxtailshed.standins.internal.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The events of the prefix cache, published with a delay and with a percentage of them lost.
 *
 * <p>Only the newest events are retained. Thread-safe.
 */
final class CacheEvents {

    static final String STORED = "stored";
    static final String EVICTED = "evicted";

    private static final int MAXIMUM_EVENTS = 4_000;
    private static final double PERCENT = 100;

    private final long lagMillis;
    private final Random random;
    private final ArrayDeque<TimedEvent> buffered = new ArrayDeque<>();
    private double lossPercent;
    private long lastNumber;

    CacheEvents(long lagMillis, double lossPercent, long seed) {
        this.lagMillis = lagMillis;
        this.lossPercent = lossPercent;
        this.random = new Random(seed);
    }

    synchronized void setLossPercent(double percent) {
        lossPercent = percent;
    }

    synchronized void add(String kind, String prefixHash, int tokens) {
        long number = ++lastNumber;
        if (random.nextDouble() * PERCENT < lossPercent) {
            return;
        }
        Event event = new Event(number, kind, prefixHash, tokens);
        buffered.addLast(new TimedEvent(System.nanoTime() + lagMillis * 1_000_000, event));
        if (buffered.size() > MAXIMUM_EVENTS) {
            buffered.removeFirst();
        }
    }

    synchronized Listing eventsAfter(long number) {
        long nowNanos = System.nanoTime();
        List<Event> visible = new ArrayList<>();
        for (TimedEvent timed : buffered) {
            if (timed.visibleFromNanos - nowNanos <= 0 && timed.event.number() > number) {
                visible.add(timed.event);
            }
        }
        return new Listing(visible);
    }

    /** An event; lost events leave gaps in the numbers. */
    record Event(long number, String kind, String prefixHash, int tokens) {}

    /** The events that have been published. */
    record Listing(List<Event> events) {}

    private record TimedEvent(long visibleFromNanos, Event event) {}
}
