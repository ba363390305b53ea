package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.daemon.internal.http.ClientRequests;
import dev.foxtailshed.daemon.internal.http.HttpExchange;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.wire.Message.DecodeWork;
import dev.foxtailshed.wire.Message.PrefillWork;
import dev.foxtailshed.wire.Message.Work;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Runs prefill and decode work on a model engine.
 *
 * <p>Thread-safe. A cancellation is repeated until the engine confirms it or has stopped, so that
 * the engine's memory does not stay occupied. Calls are refused.
 */
public final class EngineDriver implements BackendDriver {

    private static final String REQUEST_ID_HEADER = "X-Request-Id";
    private static final String FENCING_HEADER = "X-Fencing-Number";
    private static final String JSON_TYPE = "application/json";
    private static final long CANCEL_RETRY_MILLIS = 200;
    private static final int MAXIMUM_LIST_BYTES = 4 << 20;

    private final HttpClient httpClient;
    private final URI baseUrl;
    private final long fencingNumber;
    private final TimerService timer;
    private final long controlTimeoutMillis;
    private final Map<String, HttpExchange> exchanges = new ConcurrentHashMap<>();

    /**
     * Creates a driver.
     *
     * @param httpClient a started client
     * @param baseUrl the engine's URL
     * @param fencingNumber the number that the engine compares with those of other sidecars
     * @param timer schedules repeated cancellations
     * @param controlTimeoutMillis the timeout of cancellations and of listing held requests
     */
    public EngineDriver(
            HttpClient httpClient,
            URI baseUrl,
            long fencingNumber,
            TimerService timer,
            long controlTimeoutMillis) {
        this.httpClient = Objects.requireNonNull(httpClient, "httpClient");
        this.baseUrl = Objects.requireNonNull(baseUrl, "baseUrl");
        this.fencingNumber = fencingNumber;
        this.timer = Objects.requireNonNull(timer, "timer");
        this.controlTimeoutMillis = controlTimeoutMillis;
    }

    @Override
    public void start(AttemptId id, Work work, BackendListener listener) {
        String requestId = id.label();
        if (work instanceof PrefillWork prefill) {
            CompletionExchangeHandler handler =
                    new CompletionExchangeHandler(
                            this, requestId, new PrefillResponseReader(listener));
            send(requestId, EngineJson.prefillRequest(prefill), prefill.timeoutMillis(), handler);
        } else if (work instanceof DecodeWork decode) {
            CompletionExchangeHandler handler =
                    new CompletionExchangeHandler(
                            this, requestId, new DecodeResponseReader(listener));
            send(requestId, EngineJson.decodeRequest(decode), decode.timeoutMillis(), handler);
        } else {
            listener.onFailure(
                    RequestFailure.notRun(ErrorCode.INVALID_REQUEST, "an engine accepts no calls"));
        }
    }

    @Override
    public CompletableFuture<Void> cancel(AttemptId id) {
        HttpExchange exchange = exchanges.remove(id.label());
        if (exchange != null) {
            exchange.abort();
        }
        return release(id.label());
    }

    @Override
    public CompletableFuture<Void> release(String requestId) {
        return releaseAndCheckStopped(requestId).thenAccept(engineStopped -> {});
    }

    /**
     * Releases a request like {@link #release}.
     *
     * @return true if the engine itself has stopped
     */
    CompletableFuture<Boolean> releaseAndCheckStopped(String requestId) {
        CompletableFuture<Boolean> engineStopped = new CompletableFuture<>();
        postCancel(requestId, engineStopped);
        return engineStopped;
    }

    @Override
    public CompletableFuture<Either<String, List<String>>> heldRequests() {
        CompletableFuture<Either<String, List<String>>> response = new CompletableFuture<>();
        Request request = request(HttpMethod.GET, "/v1/requests", controlTimeoutMillis);
        ClientRequests.send(
                request,
                new BufferingResponseListener(MAXIMUM_LIST_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        response.complete(parseHeldRequests(result, getContent()));
                    }
                });
        return response;
    }

    void removeExchange(String requestId) {
        exchanges.remove(requestId);
    }

    private void send(
            String requestId, byte[] body, long timeoutMillis, CompletionExchangeHandler handler) {
        Request request = request(HttpMethod.POST, "/v1/completions", timeoutMillis);
        request.headers(headers -> headers.put(REQUEST_ID_HEADER, requestId));
        request.body(new BytesRequestContent(JSON_TYPE, body));
        HttpExchange exchange = new HttpExchange(request, handler);
        exchanges.put(requestId, exchange);
        exchange.send();
    }

    private Request request(HttpMethod method, String path, long timeoutMillis) {
        return httpClient
                .newRequest(baseUrl)
                .method(method)
                .path(path)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .headers(headers -> headers.put(FENCING_HEADER, Long.toString(fencingNumber)));
    }

    private void postCancel(String requestId, CompletableFuture<Boolean> engineStopped) {
        ClientRequests.send(
                request(HttpMethod.POST, "/v1/cancel", controlTimeoutMillis)
                        .body(
                                new BytesRequestContent(
                                        JSON_TYPE, EngineJson.cancelRequest(requestId))),
                result -> {
                    if (isCancelSettled(result)) {
                        engineStopped.complete(result.isFailed());
                    } else {
                        timer.once(CANCEL_RETRY_MILLIS, () -> postCancel(requestId, engineStopped));
                    }
                });
    }

    /**
     * Returns whether a cancellation need not be repeated. A refused connection counts as settled:
     * the engine process has stopped and its memory is free.
     */
    private static boolean isCancelSettled(Result result) {
        if (result.isFailed()) {
            return result.getFailure() instanceof ConnectException;
        }
        return !HttpStatus.isServerError(result.getResponse().getStatus());
    }

    private static Either<String, List<String>> parseHeldRequests(Result result, byte[] body) {
        if (result.isFailed()) {
            return Either.left(result.getFailure().toString());
        }
        if (result.getResponse().getStatus() != HttpStatus.OK_200) {
            return Either.left("status " + result.getResponse().getStatus());
        }
        try {
            return Either.right(EngineJson.parseHeldRequests(body));
        } catch (RuntimeException e) {
            return Either.left(e.toString());
        }
    }
}
