package dev.foxtailshed.bench.overhead;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;

/** Measures latency and throughput of one idempotent lookup over persistent connections. */
final class LookupMeasurement {

    private static final long MAXIMUM_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final HttpClient client;

    LookupMeasurement(HttpClient client) {
        this.client = client;
    }

    /** Measures the latencies of sequential calls, in nanoseconds. */
    Histogram measureLatencies(URI lookup, int calls)
            throws InterruptedException, ExecutionException {
        Histogram nanos = new Histogram(MAXIMUM_LATENCY_NANOS, SIGNIFICANT_DIGITS);
        for (int i = 0; i < calls; i++) {
            long startNanos = System.nanoTime();
            call(lookup);
            nanos.recordValue(System.nanoTime() - startNanos);
        }
        return nanos;
    }

    /** Runs concurrent callers for the given time and returns the number of completed calls. */
    long countConcurrentCalls(URI lookup, int callers, long durationMillis)
            throws InterruptedException, ExecutionException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        LongAdder completedCalls = new LongAdder();
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            all.add(done);
            new Thread(() -> callUntil(lookup, endNanos, completedCalls, done), "caller-" + i)
                    .start();
        }
        CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).get();
        return completedCalls.sum();
    }

    private void callUntil(
            URI lookup, long endNanos, LongAdder completedCalls, CompletableFuture<Void> done) {
        try {
            while (System.nanoTime() - endNanos < 0) {
                call(lookup);
                completedCalls.increment();
            }
            done.complete(null);
        } catch (InterruptedException | ExecutionException | RuntimeException e) {
            done.completeExceptionally(e);
        }
    }

    private void call(URI lookup) throws InterruptedException, ExecutionException {
        try {
            ContentResponse response = client.GET(lookup);
            if (response.getStatus() != HttpStatus.OK_200) {
                throw new IllegalStateException(response + ": " + response.getContentAsString());
            }
        } catch (TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }
}
