package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.manifest.RequestClass;

/** Measures one answer against the latency targets of its request class. Not thread-safe. */
final class LatencyTracker {

    private final long startMillis;
    private final RequestClass requestClass;
    private long firstMillis = -1;
    private long lastMillis;
    private long count;

    LatencyTracker(long startMillis, RequestClass requestClass) {
        this.startMillis = startMillis;
        this.requestClass = requestClass;
    }

    void recordToken(long nowMillis) {
        if (firstMillis < 0) {
            firstMillis = nowMillis;
        }
        lastMillis = nowMillis;
        count++;
    }

    long firstTokenMillis() {
        return firstMillis < 0 ? 0 : firstMillis - startMillis;
    }

    /** Returns whether the first token arrived in time and the others met the target on average. */
    boolean targetsMet() {
        boolean firstMet = firstTokenMillis() <= requestClass.timeToFirstTokenMillis();
        long allowedMillis = (count - 1) * requestClass.timeBetweenTokensMillis();
        return firstMet && (count < 2 || lastMillis - firstMillis <= allowedMillis);
    }
}
