package dev.foxtailshed.daemon.internal.http;

import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** Counts the requests in flight, so that a shutdown can wait for them. Thread-safe. */
public final class InFlightRequests {

    private final AtomicInteger count = new AtomicInteger();
    private final Queue<CompletableFuture<Void>> watchers = new ConcurrentLinkedQueue<>();
    private final AtomicReference<CompletableFuture<Void>> idle = new AtomicReference<>();

    /**
     * Admits a request unless a drain has begun.
     *
     * @return false if the request must be refused
     */
    public boolean enter() {
        count.incrementAndGet();
        if (idle.get() != null) {
            exit();
            return false;
        }
        return true;
    }

    /** A request has left. */
    public void exit() {
        if (count.decrementAndGet() == 0) {
            signalIfIdle();
        }
    }

    /**
     * Returns what lets a request leave when it has run as often as the request has parts.
     *
     * @param parts how many parts must end
     * @return what each part runs at its end
     */
    public Runnable exitAfter(int parts) {
        AtomicInteger left = new AtomicInteger(parts);
        return () -> {
            if (left.decrementAndGet() == 0) {
                exit();
            }
        };
    }

    /**
     * Returns the count.
     *
     * @return the requests in flight
     */
    public int count() {
        return count.get();
    }

    /**
     * Tells whether a drain has begun.
     *
     * @return true once nothing more is admitted
     */
    public boolean isDraining() {
        return idle.get() != null;
    }

    /**
     * Admits nothing more.
     *
     * @return completes when the last request has left
     */
    public CompletableFuture<Void> drain() {
        idle.compareAndSet(null, new CompletableFuture<>());
        if (count.get() == 0) {
            signalIfIdle();
        }
        return idle.get();
    }

    /**
     * Waits without refusing anything: requests that still come are counted too.
     *
     * @return completes at the first moment without requests
     */
    public CompletableFuture<Void> idle() {
        CompletableFuture<Void> waiting = new CompletableFuture<>();
        watchers.add(waiting);
        if (count.get() == 0) {
            completeWatchers();
        }
        return waiting;
    }

    private void completeWatchers() {
        watchers.removeIf(watcher -> watcher.complete(null));
    }

    private void signalIfIdle() {
        completeWatchers();
        CompletableFuture<Void> waiting = idle.get();
        if (waiting != null) {
            waiting.complete(null);
        }
    }
}
