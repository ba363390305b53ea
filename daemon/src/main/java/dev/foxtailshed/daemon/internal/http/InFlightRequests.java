package dev.foxtailshed.daemon.internal.http;

import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** Counts the requests in flight, so that shutdown can wait for them. Thread-safe. */
public final class InFlightRequests {

    private final AtomicInteger count = new AtomicInteger();
    private final Queue<CompletableFuture<Void>> idleFutures = new ConcurrentLinkedQueue<>();
    private final AtomicReference<CompletableFuture<Void>> drained = new AtomicReference<>();

    /**
     * Counts a new request unless draining has begun.
     *
     * @return false if the request must be refused; it is not counted then
     */
    public boolean enter() {
        count.incrementAndGet();
        if (drained.get() != null) {
            exit();
            return false;
        }
        return true;
    }

    /** Records the end of a request. */
    public void exit() {
        if (count.decrementAndGet() == 0) {
            completeFutures();
        }
    }

    /**
     * Returns a task that calls {@link #exit} when it has run once for each part of a request.
     *
     * @param parts the number of parts, which end independently
     * @return the task that each part runs at its end
     */
    public Runnable exitAfter(int parts) {
        AtomicInteger remainingParts = new AtomicInteger(parts);
        return () -> {
            if (remainingParts.decrementAndGet() == 0) {
                exit();
            }
        };
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the number, zero or more
     */
    public int count() {
        return count.get();
    }

    /**
     * Returns whether draining has begun.
     *
     * @return true once new requests are refused
     */
    public boolean isDraining() {
        return drained.get() != null;
    }

    /**
     * Refuses new requests from now on.
     *
     * @return a future that completes when no request is in flight
     */
    public CompletableFuture<Void> drain() {
        drained.compareAndSet(null, new CompletableFuture<>());
        if (count.get() == 0) {
            completeFutures();
        }
        return drained.get();
    }

    /**
     * Returns a future of the next moment without requests in flight; new requests are still
     * accepted.
     *
     * @return a future that completes when no request is in flight
     */
    public CompletableFuture<Void> whenIdle() {
        CompletableFuture<Void> future = new CompletableFuture<>();
        idleFutures.add(future);
        if (count.get() == 0) {
            completeIdleFutures();
        }
        return future;
    }

    private void completeIdleFutures() {
        idleFutures.removeIf(future -> future.complete(null));
    }

    private void completeFutures() {
        completeIdleFutures();
        CompletableFuture<Void> future = drained.get();
        if (future != null) {
            future.complete(null);
        }
    }
}
