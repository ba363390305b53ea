package dev.foxtailshed.standins.internal.service;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts the runs of each call. Thread-safe. */
final class RunCounter {

    private final Map<RunKey, Long> byKey = new HashMap<>();
    private final Map<String, Long> byCallId = new TreeMap<>();
    private long total;

    synchronized long add(RunKey key) {
        total++;
        byCallId.merge(key.callId().isEmpty() ? key.path() : key.callId(), 1L, Long::sum);
        return byKey.merge(key, 1L, Long::sum);
    }

    synchronized Snapshot snapshot() {
        return new Snapshot(new TreeMap<>(byCallId), total);
    }

    /** The identity of a call: calls with equal keys are runs of the same call. */
    record RunKey(String method, String path, String body, String callId) {}

    /** The runs by call id, or by path for calls without an id, and their total. */
    record Snapshot(Map<String, Long> runs, long total) {}
}
