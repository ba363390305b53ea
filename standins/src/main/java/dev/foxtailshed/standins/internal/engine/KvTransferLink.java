package dev.foxtailshed.standins.internal.engine;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;

/**
 * The transfer link through which an engine imports KV cache, one request at a time.
 *
 * <p>An import takes the export from its source engine, which releases it there, and then lasts for
 * the size of the export divided by the rate of the link. Thread-safe.
 */
final class KvTransferLink {

    private static final long TAKE_TIMEOUT_MILLIS = 2000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final HttpClient client;
    private final ScheduledExecutorService scheduler;
    private final long bytesPerSecond;
    private final ImportListener listener;
    private final ArrayDeque<EngineRequest> waiting = new ArrayDeque<>();
    private EngineRequest current;
    private ScheduledFuture<?> transfer;
    private double timeFactor = 1;

    KvTransferLink(
            HttpClient client,
            ScheduledExecutorService scheduler,
            long bytesPerSecond,
            ImportListener listener) {
        this.client = client;
        this.scheduler = scheduler;
        this.bytesPerSecond = bytesPerSecond;
        this.listener = listener;
    }

    synchronized void setTimeFactor(double factor) {
        timeFactor = factor;
    }

    synchronized void add(EngineRequest request) {
        waiting.addLast(request);
        startNext();
    }

    /** Removes a request, aborting its import if that has started. */
    synchronized void remove(EngineRequest request) {
        waiting.remove(request);
        if (current == request) {
            release();
        }
    }

    private synchronized void startNext() {
        if (current != null || waiting.isEmpty()) {
            return;
        }
        current = waiting.removeFirst();
        EngineRequest request = current;
        CompletionRequest.KvTransferParams source = request.completionRequest.kvTransferParams();
        try {
            client.newRequest(source.sourceUrl() + "/v1/kv/" + source.handle() + "/take")
                    .method(HttpMethod.POST)
                    .timeout(TAKE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .send(r -> scheduler.execute(() -> taken(request, r)));
        } catch (IllegalArgumentException e) {
            scheduler.execute(() -> finish(request, Optional.of("malformed source URL")));
        }
    }

    private void taken(EngineRequest request, Result result) {
        if (result.isFailed()) {
            finish(request, Optional.of(result.getFailure().toString()));
            return;
        }
        int status = result.getResponse().getStatus();
        if (status != 200) {
            finish(request, Optional.of("its source responded with status " + status));
            return;
        }
        synchronized (this) {
            if (current != request) {
                return;
            }
            double seconds =
                    timeFactor
                            * request.completionRequest.kvTransferParams().sizeBytes()
                            / bytesPerSecond;
            long nanos = (long) (seconds * NANOS_PER_SECOND);
            transfer =
                    scheduler.schedule(
                            () -> finish(request, Optional.empty()), nanos, TimeUnit.NANOSECONDS);
        }
    }

    private void finish(EngineRequest request, Optional<String> failure) {
        synchronized (this) {
            if (current != request) {
                return;
            }
            release();
        }
        listener.onImportEnded(request, failure);
    }

    private void release() {
        if (transfer != null) {
            transfer.cancel(false);
            transfer = null;
        }
        current = null;
        startNext();
    }

    /** A listener for the end of imports. */
    interface ImportListener {

        /**
         * Runs when an import has ended.
         *
         * @param failure the cause of a failure, for instance an evicted export
         */
        void onImportEnded(EngineRequest request, Optional<String> failure);
    }
}
