package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.daemon.internal.http.BackendHttpClients;
import dev.foxtailshed.daemon.internal.http.HopByHopHeaders;
import dev.foxtailshed.daemon.internal.http.HttpExchange;
import dev.foxtailshed.daemon.internal.http.ResponseFraming;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.direct.EventStreamTail;
import dev.foxtailshed.wire.Message.CallWork;
import dev.foxtailshed.wire.Message.Header;
import dev.foxtailshed.wire.Message.Work;
import io.vavr.control.Either;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Forwards calls to a plain HTTP service.
 *
 * <p>Thread-safe. Every complete response of the service is forwarded unchanged, whatever its
 * status; an event stream that ends inside an event fails. Prefill and decode work is refused, and
 * so is a path that names another authority.
 */
public final class PlainServiceDriver implements BackendDriver {

    private final HttpClient httpClient;
    private final URI baseUrl;
    private final Map<AttemptId, Call> calls = new ConcurrentHashMap<>();

    /**
     * Creates a driver.
     *
     * @param httpClient a started client of {@link BackendHttpClients}
     * @param baseUrl the service's URL
     */
    public PlainServiceDriver(HttpClient httpClient, URI baseUrl) {
        this.httpClient = Objects.requireNonNull(httpClient, "httpClient");
        this.baseUrl = Objects.requireNonNull(baseUrl, "baseUrl");
        BackendHttpClients.disableResponseProcessing(httpClient);
    }

    @Override
    public void start(AttemptId id, Work work, BackendListener listener) {
        if (!(work instanceof CallWork call) || !isLocalPath(call.path())) {
            listener.onFailure(
                    RequestFailure.notRun(ErrorCode.INVALID_REQUEST, "not a call to this service"));
            return;
        }
        Call started = new Call(id, listener);
        started.exchange = new HttpExchange(request(call), started);
        calls.put(id, started);
        started.exchange.send();
    }

    @Override
    public CompletableFuture<Void> cancel(AttemptId id) {
        Call call = calls.get(id);
        if (call == null) {
            return CompletableFuture.completedFuture(null);
        }
        call.exchange.abort();
        return call.ended;
    }

    /**
     * Checks that the service accepts a connection. A plain service cannot list requests, so the
     * list is empty.
     */
    @Override
    public CompletableFuture<Either<String, List<String>>> heldRequests() {
        return httpClient
                .resolveDestination(httpClient.newRequest(baseUrl))
                .newConnection()
                .handle(
                        (connection, failure) -> {
                            if (failure != null) {
                                return Either.left(failure.toString());
                            }
                            connection.close();
                            return Either.right(List.of());
                        });
    }

    @Override
    public CompletableFuture<Void> release(String requestId) {
        return CompletableFuture.completedFuture(null);
    }

    private static boolean isLocalPath(String path) {
        return path.startsWith("/") && !path.startsWith("//");
    }

    private Request request(CallWork call) {
        Request request =
                httpClient
                        .newRequest(baseUrl)
                        .method(call.method())
                        .path(call.path())
                        .followRedirects(false)
                        .timeout(call.timeoutMillis(), TimeUnit.MILLISECONDS);
        request.headers(
                fields -> {
                    for (Header header : HopByHopHeaders.removeFromRequest(call.headers())) {
                        fields.add(header.name(), header.value());
                    }
                });
        if (call.body().length > 0) {
            request.body(new BytesRequestContent(call.body()));
        }
        return request;
    }

    /** A call in flight. */
    private final class Call implements HttpExchange.Handler {
        private final AttemptId id;
        private final BackendListener listener;
        private final CompletableFuture<Void> ended = new CompletableFuture<>();
        private Optional<EventStreamTail> eventStream = Optional.empty();
        private volatile HttpExchange exchange;

        Call(AttemptId id, BackendListener listener) {
            this.id = id;
            this.listener = listener;
        }

        @Override
        public void onHead(Response response) {
            if (isEventStream(response)) {
                eventStream = Optional.of(new EventStreamTail());
            }
            List<Header> headers = new ArrayList<>();
            for (HttpField field : response.getHeaders()) {
                headers.add(new Header(field.getName(), field.getValue()));
            }
            listener.onHead(response.getStatus(), HopByHopHeaders.removeFromResponse(headers));
        }

        @Override
        public void onBytes(Response response, byte[] bytes, Runnable next) {
            eventStream.ifPresent(tail -> tail.append(bytes));
            listener.onPart(bytes, 0, next);
        }

        @Override
        public void onComplete(Response response) {
            end();
            boolean endMarked = ResponseFraming.of(response.getHeaders()).marksEnd();
            if (eventStream.isPresent() && !eventStream.get().isComplete(endMarked)) {
                listener.onFailure(
                        RequestFailure.of(
                                Verdict.RAN,
                                ErrorCode.INCOMPLETE_ANSWER,
                                "the event stream of the service ended inside an event or without"
                                        + " one"));
            } else {
                listener.onEnd("", 0, 0);
            }
        }

        private static boolean isEventStream(Response response) {
            String type = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
            return type != null
                    && type.toLowerCase(Locale.ROOT).startsWith("text/event-stream")
                    && !HttpMethod.HEAD.is(response.getRequest().getMethod())
                    && !HttpStatus.hasNoBody(response.getStatus());
        }

        @Override
        public void onFailure(RequestFailure failure) {
            end();
            listener.onFailure(failure);
        }

        @Override
        public void onAborted() {
            end();
        }

        private void end() {
            calls.remove(id);
            ended.complete(null);
        }
    }
}
