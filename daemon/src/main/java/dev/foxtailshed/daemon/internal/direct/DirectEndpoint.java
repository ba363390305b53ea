package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.http.BodyAccumulator;
import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.daemon.internal.http.ErrorBody;
import dev.foxtailshed.daemon.internal.http.HopByHopHeaders;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.direct.DirectRoute;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.direct.RequestAttributes;
import dev.foxtailshed.kernel.direct.RouteTable;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Takes callers' requests, matches them with the routes in force, and starts their flows. */
final class DirectEndpoint implements Endpoint {

    /** When to come back while the routes are not known yet; a start takes about this. */
    private static final long STARTING_RETRY_MILLIS = 500;

    private final DirectContext context;
    private final FlowFactory flows;
    private final ShutdownGate gate;

    /** Makes the flow that fits a request. */
    interface FlowFactory {
        DirectFlow create(CallerRequest request, CallerStream caller);
    }

    DirectEndpoint(DirectContext context, FlowFactory flows, ShutdownGate gate) {
        this.context = context;
        this.flows = flows;
        this.gate = gate;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        long arrivedMillis = context.timer().nowMillis();
        RequestAttributes terms = context.platform().callers().read(request.getHeaders());
        Refusal refusal = new Refusal(terms.attemptId(), request, response, callback);
        Optional<RouteTable> routes = context.view().routes();
        if (gate.isClosed()) {
            refuseDraining(refusal);
            return true;
        }
        if (routes.isEmpty()) {
            refuse(
                    refusal,
                    RequestFailure.notRun(
                                    ErrorCode.NO_MANIFEST,
                                    "no routing configuration has been read yet")
                            .retryAfter(STARTING_RETRY_MILLIS));
            return true;
        }
        Optional<DirectRoute> route =
                routes.get().match(hostOf(request), request.getHttpURI().getPath());
        if (route.isEmpty()) {
            String where = hostOf(request) + request.getHttpURI().getPath();
            refuse(refusal, ErrorCode.NOT_FOUND, "no route matches " + where);
            return true;
        }
        readBody(refusal, new Arrival(terms, routes.get(), route.get(), arrivedMillis));
        return true;
    }

    /** The head of a request, matched with the routes in force when it came. */
    private record Arrival(
            RequestAttributes terms, RouteTable routes, DirectRoute route, long arrivedMillis) {

        long deadlineMillis() {
            long limitMillis = route.timeoutMillis();
            return arrivedMillis
                    + Math.min(limitMillis, terms.deadlineMillis().orElse(limitMillis));
        }
    }

    /** What it takes to answer a request that is refused before its flow starts. */
    private record Refusal(
            Optional<String> requestId, Request request, Response response, Callback callback) {

        Refusal with(Callback other) {
            return new Refusal(requestId, request, response, other);
        }
    }

    private void readBody(Refusal refusal, Arrival arrival) {
        int maximumBytes = arrival.routes().limits().maximumBodyBytes();
        if (refusal.request().getLength() > maximumBytes) {
            refuseTooLarge(refusal, maximumBytes);
            return;
        }
        Optional<Runnable> exit = gate.enter(arrival.deadlineMillis());
        if (exit.isEmpty()) {
            refuseDraining(refusal);
            return;
        }
        Refusal counted = refusal.with(Callback.from(refusal.callback(), exit.get()));
        CompletableFuture<Optional<byte[]>> whole =
                BodyAccumulator.read(refusal.request(), maximumBytes);
        whole.whenComplete(
                (body, failure) -> {
                    if (failure != null) {
                        String message = "the body could not be read: " + failure;
                        refuse(counted, ErrorCode.INVALID_REQUEST, message);
                    } else if (body.isEmpty()) {
                        refuseTooLarge(counted, maximumBytes);
                    } else {
                        open(counted, arrival, body.get());
                    }
                });
    }

    private void open(Refusal refusal, Arrival arrival, byte[] body) {
        if (refusal.requestId().isEmpty()) {
            refuse(refusal, ErrorCode.INVALID_REQUEST, "the request has no id");
            return;
        }
        Request request = refusal.request();
        String name = arrival.route().pickService(context.random().getAsDouble());
        DirectService service =
                arrival.routes()
                        .service(name)
                        .orElse(new DirectService(name, Integer.MAX_VALUE, Optional.empty()));
        CallerRequest read =
                new CallerRequest(
                        refusal.requestId().get(),
                        request.getMethod(),
                        request.getHttpURI().getPathQuery(),
                        HopByHopHeaders.ofRequestForHost(request.getHeaders()),
                        body,
                        arrival.terms(),
                        arrival.route(),
                        service,
                        arrival.routes().version(),
                        arrival.arrivedMillis(),
                        arrival.deadlineMillis());
        start(read, request, refusal.response(), refusal.callback());
    }

    private void start(CallerRequest read, Request request, Response response, Callback callback) {
        AtomicReference<DirectFlow> flow = new AtomicReference<>();
        AtomicBoolean gone = new AtomicBoolean();
        CallerStream caller =
                new CallerStream(
                        request,
                        response,
                        callback,
                        () -> {
                            gone.set(true);
                            context.loop().execute(() -> gone(flow));
                        },
                        ErrorBody::writeWithFractionalRetryAfter);
        context.onLoop(
                () -> {
                    flow.set(flows.create(read, caller));
                    flow.get().start();
                    if (gone.get()) {
                        // It left before there was a flow to tell.
                        flow.get().callerGone();
                    }
                });
    }

    private static void gone(AtomicReference<DirectFlow> flow) {
        if (flow.get() != null) {
            flow.get().callerGone();
        }
    }

    private static String hostOf(Request request) {
        HttpFields headers = request.getHeaders();
        return Optional.ofNullable(headers.get(HttpHeader.HOST)).orElse("");
    }

    private void refuseTooLarge(Refusal refusal, int maximumBytes) {
        refuse(refusal, ErrorCode.TOO_LARGE, "the body is larger than " + maximumBytes + " bytes");
    }

    private void refuseDraining(Refusal refusal) {
        refuse(
                refusal,
                RequestFailure.notRun(ErrorCode.DRAINING, "the instance is shutting down")
                        .retryAfter(0));
    }

    private void refuse(Refusal refusal, ErrorCode code, String message) {
        refuse(refusal, RequestFailure.notRun(code, message));
    }

    private void refuse(Refusal refusal, RequestFailure failure) {
        context.journal().refused(refusal.requestId(), context.view().routes(), failure);
        ErrorBody.writeWithFractionalRetryAfter(refusal.response(), failure, refusal.callback());
    }
}
