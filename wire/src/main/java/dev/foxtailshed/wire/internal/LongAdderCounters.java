package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.WireCounters;
import java.util.concurrent.atomic.LongAdder;

/** Counters that many threads can increment without contention. */
public final class LongAdderCounters implements WireCounters {

    private final LongAdder malformedFrames = new LongAdder();
    private final LongAdder refusedHandshakes = new LongAdder();
    private final LongAdder framesIn = new LongAdder();
    private final LongAdder framesOut = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();

    /** Creates counters that start at zero. */
    public LongAdderCounters() {}

    @Override
    public long malformedFrames() {
        return malformedFrames.sum();
    }

    @Override
    public long refusedHandshakes() {
        return refusedHandshakes.sum();
    }

    @Override
    public long framesIn() {
        return framesIn.sum();
    }

    @Override
    public long framesOut() {
        return framesOut.sum();
    }

    @Override
    public long bytesIn() {
        return bytesIn.sum();
    }

    @Override
    public long bytesOut() {
        return bytesOut.sum();
    }

    void countMalformedFrame() {
        malformedFrames.increment();
    }

    void countRefusedHandshake() {
        refusedHandshakes.increment();
    }

    void countFrameIn() {
        framesIn.increment();
    }

    void countFrameOut() {
        framesOut.increment();
    }

    void addBytesIn(long bytes) {
        bytesIn.add(bytes);
    }

    void addBytesOut(long bytes) {
        bytesOut.add(bytes);
    }
}
