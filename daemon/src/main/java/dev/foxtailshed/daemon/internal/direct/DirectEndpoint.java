package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.CallerProtocol;
import dev.foxtailshed.daemon.internal.http.BodyAccumulator;
import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.daemon.internal.http.ErrorBody;
import dev.foxtailshed.daemon.internal.http.HopByHopHeaders;
import dev.foxtailshed.daemon.internal.http.InFlight;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.direct.CallerTerms;
import dev.foxtailshed.kernel.direct.DirectRoute;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.direct.RouteTable;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
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
    private final InFlight inFlight;
    private final BooleanSupplier closing;

    /** Makes the flow that fits a request. */
    interface FlowFactory {
        DirectFlow create(CallerRequest request, CallerStream caller);
    }

    DirectEndpoint(
            DirectContext context, FlowFactory flows, InFlight inFlight, BooleanSupplier closing) {
        this.context = context;
        this.flows = flows;
        this.inFlight = inFlight;
        this.closing = closing;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        long arrivedMillis = context.timer().nowMillis();
        Optional<RouteTable> routes = context.view().routes();
        if (closing.getAsBoolean()) {
            RequestFailure failure =
                    RequestFailure.notRun(ErrorCode.DRAINING, "the instance is shutting down");
            ErrorBody.writeWithFractions(response, failure.retryAfter(0), callback);
            return true;
        }
        if (routes.isEmpty()) {
            RequestFailure failure =
                    RequestFailure.notRun(
                            ErrorCode.NO_MANIFEST, "no routing configuration has been read yet");
            ErrorBody.writeWithFractions(
                    response, failure.retryAfter(STARTING_RETRY_MILLIS), callback);
            return true;
        }
        Optional<DirectRoute> route =
                routes.get().match(hostOf(request), request.getHttpURI().getPath());
        if (route.isEmpty()) {
            String where = hostOf(request) + request.getHttpURI().getPath();
            refuse(response, callback, ErrorCode.NOT_FOUND, "no route matches " + where);
            return true;
        }
        readBody(request, response, callback, routes.get(), route.get(), arrivedMillis);
        return true;
    }

    private void readBody(
            Request request,
            Response response,
            Callback callback,
            RouteTable routes,
            DirectRoute route,
            long arrivedMillis) {
        int maximumBytes = routes.limits().maximumBodyBytes();
        if (request.getLength() > maximumBytes) {
            refuseTooLarge(response, callback, maximumBytes);
            return;
        }
        inFlight.enter();
        Callback leaving = Callback.from(callback, inFlight::exit);
        CompletableFuture<Optional<byte[]>> whole = BodyAccumulator.read(request, maximumBytes);
        whole.whenComplete(
                (body, failure) -> {
                    if (failure != null) {
                        refuse(
                                response,
                                leaving,
                                ErrorCode.INVALID_REQUEST,
                                "the body could not be read: " + failure);
                    } else if (body.isEmpty()) {
                        refuseTooLarge(response, leaving, maximumBytes);
                    } else {
                        open(request, response, leaving, routes, route, arrivedMillis, body.get());
                    }
                });
    }

    private void open(
            Request request,
            Response response,
            Callback callback,
            RouteTable routes,
            DirectRoute route,
            long arrivedMillis,
            byte[] body) {
        CallerProtocol protocol = context.platform().callers();
        CallerTerms terms = protocol.read(request.getHeaders());
        if (terms.attemptId().isEmpty()) {
            refuse(response, callback, ErrorCode.INVALID_REQUEST, "the request has no id");
            return;
        }
        String name = route.pickService(context.random().getAsDouble());
        DirectService service =
                routes.service(name)
                        .orElse(new DirectService(name, Integer.MAX_VALUE, Optional.empty()));
        long limitMillis =
                Math.min(
                        route.timeoutMillis(),
                        terms.deadlineMillis().orElse(route.timeoutMillis()));
        CallerRequest read =
                new CallerRequest(
                        terms.attemptId().get(),
                        request.getMethod(),
                        request.getHttpURI().getPathQuery(),
                        HopByHopHeaders.ofRequestForHost(request.getHeaders()),
                        body,
                        terms,
                        route,
                        service,
                        routes.version(),
                        arrivedMillis,
                        arrivedMillis + limitMillis);
        start(read, request, response, callback);
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
                        ErrorBody::writeWithFractions);
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

    private static void refuseTooLarge(Response response, Callback callback, int maximumBytes) {
        refuse(
                response,
                callback,
                ErrorCode.TOO_LARGE,
                "the body is larger than " + maximumBytes + " bytes");
    }

    private static void refuse(
            Response response, Callback callback, ErrorCode code, String message) {
        ErrorBody.write(response, RequestFailure.notRun(code, message), callback);
    }
}
