package dev.foxtailshed.standins.internal.platform;

import java.util.Map;
import java.util.TreeMap;

/** The counts of calls by instance. Thread-safe. */
final class CallCounts {

    private final Map<String, Count> byInstance = new TreeMap<>();

    synchronized void addRead(String instance) {
        byInstance.merge(instance, new Count(1, 0, 0), Count::plus);
    }

    synchronized void addWrite(String instance) {
        byInstance.merge(instance, new Count(0, 1, 0), Count::plus);
    }

    synchronized void addBytes(String instance, long bytes) {
        byInstance.merge(instance, new Count(0, 0, bytes), Count::plus);
    }

    synchronized Snapshot snapshot(int watchesOpen) {
        Count sum = byInstance.values().stream().reduce(new Count(0, 0, 0), Count::plus);
        return new Snapshot(sum.reads(), sum.writes(), watchesOpen, new TreeMap<>(byInstance));
    }

    /** The calls of one instance; bytes are those of request and response bodies. */
    record Count(long reads, long writes, long bytes) {

        Count plus(Count other) {
            return new Count(reads + other.reads, writes + other.writes, bytes + other.bytes);
        }
    }

    /** The calls of all instances, the total and by instance, and the number of open watches. */
    record Snapshot(long reads, long writes, int watchesOpen, Map<String, Count> byInstance) {}
}
