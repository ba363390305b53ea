package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol.CallerIdentity;
import dev.foxtailshed.daemon.internal.http.BodyAccumulator;
import dev.foxtailshed.daemon.internal.http.BodyAccumulator.NoRoomException;
import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.daemon.internal.http.ErrorBody;
import dev.foxtailshed.daemon.internal.http.HopByHopHeaders;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService.Subscription;
import dev.foxtailshed.kernel.direct.BufferBudget;
import dev.foxtailshed.kernel.direct.DirectRoute;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.direct.RequestAttributes;
import dev.foxtailshed.kernel.direct.RouteTable;
import dev.foxtailshed.kernel.direct.workspace.UrgencyRanks;
import dev.foxtailshed.kernel.direct.workspace.Workspace;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Accepts callers' requests, matches them against the current routes and starts their flows. */
final class DirectEndpoint implements Endpoint {

    /** Retry-After while no routes have been read yet; about the duration of a start. */
    private static final long STARTUP_RETRY_MILLIS = 500;

    /** Retry-After while the bodies of other requests take all memory; about one such request. */
    private static final long NO_ROOM_RETRY_MILLIS = 300;

    /** Retry-After if only a new configuration can help; no earlier retry succeeds. */
    private static final long NEW_CONFIGURATION_RETRY_MILLIS = 5_000;

    private final DirectContext context;
    private final FlowFactory flows;
    private final ShutdownGate gate;

    /** Creates the flow for a request. */
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
        RequestAttributes attributes =
                context.platform().callerProtocol().parse(request.getHeaders());
        PendingResponse pending =
                new PendingResponse(attributes.attemptId(), request, response, callback);
        Optional<RouteTable> routes = context.view().routes();
        if (gate.isClosed()) {
            refuseDraining(pending);
            return true;
        }
        if (routes.isEmpty()) {
            refuse(
                    pending,
                    RequestFailure.notRun(
                                    ErrorCode.NO_MANIFEST,
                                    "no routing configuration has been read yet")
                            .retryAfter(STARTUP_RETRY_MILLIS));
            return true;
        }
        Optional<DirectRoute> route =
                routes.get().match(hostOf(request), request.getHttpURI().getPath());
        if (route.isEmpty()) {
            refuseWithoutRoute(pending, routes.get());
            return true;
        }
        Optional<Workspace> workspace =
                routes.get()
                        .workspaces()
                        .flatMap(workspaces -> attributes.apiKey().flatMap(workspaces::find));
        if (workspace.isEmpty()
                && routes.get().workspaces().isPresent()
                && !route.get().isPublic()) {
            refuseWithoutWorkspace(pending, routes.get(), attributes);
            return true;
        }
        readBody(
                pending,
                new MatchedRequest(
                        attributes, routes.get(), route.get(), workspace, arrivedMillis));
        return true;
    }

    /** The head of a request and the route that it matched on arrival. */
    private record MatchedRequest(
            RequestAttributes attributes,
            RouteTable routes,
            DirectRoute route,
            Optional<Workspace> workspace,
            long arrivedMillis) {

        /** Returns what servers learn of the caller. */
        Optional<CallerIdentity> identity() {
            return routes.urgencyRanks().map(this::identity);
        }

        private CallerIdentity identity(UrgencyRanks ranks) {
            int rank = ranks.rank(workspace.flatMap(Workspace::priority), route.priority());
            return new CallerIdentity(workspace.map(Workspace::name), rank, ranks.isUrgent(rank));
        }

        int priority() {
            return identity().map(CallerIdentity::urgency).orElse(routes.priorityRank(route));
        }

        long deadlineMillis() {
            long limitMillis = route.timeoutMillis();
            return arrivedMillis
                    + Math.min(limitMillis, attributes.deadlineMillis().orElse(limitMillis));
        }
    }

    /** What is needed to respond to a request whose flow has not started. */
    private record PendingResponse(
            Optional<String> requestId, Request request, Response response, Callback callback) {

        PendingResponse withCallback(Callback other) {
            return new PendingResponse(requestId, request, response, other);
        }
    }

    private void readBody(PendingResponse pending, MatchedRequest matched) {
        int maximumBytes = matched.routes().limits().maximumBodyBytes();
        if (pending.request().getLength() > maximumBytes) {
            refuseTooLarge(pending, maximumBytes);
            return;
        }
        Optional<Runnable> exit = gate.enter(matched.deadlineMillis());
        if (exit.isEmpty()) {
            refuseDraining(pending);
            return;
        }
        BufferBudget.Account account = context.requestBuffers().open(() -> {});
        Runnable atEnd =
                () -> {
                    account.close();
                    exit.get().run();
                };
        PendingResponse tracked = pending.withCallback(Callback.from(pending.callback(), atEnd));
        if (!account.tryGrowTo(Math.max(0, pending.request().getLength()))) {
            // None of the body is kept, so that it does not take room from those that fit.
            account.close();
        }
        CompletableFuture<Optional<byte[]>> bodyFuture =
                BodyAccumulator.read(pending.request(), maximumBytes, account);
        limitUntilDeadline(bodyFuture, matched);
        bodyFuture.whenComplete(
                (body, failure) -> {
                    if (failure instanceof TimeoutException) {
                        refuse(tracked, ErrorCode.TIMEOUT, failure.getMessage());
                    } else if (failure instanceof NoRoomException) {
                        refuseNoRoom(tracked);
                    } else if (failure != null) {
                        String message = "the body could not be read: " + failure;
                        refuse(tracked, ErrorCode.INVALID_REQUEST, message);
                    } else if (body.isEmpty()) {
                        refuseTooLarge(tracked, maximumBytes);
                    } else {
                        createRequest(tracked, matched, body.get());
                    }
                });
    }

    /** Gives up a body that has not arrived by the deadline. */
    private void limitUntilDeadline(
            CompletableFuture<Optional<byte[]>> body, MatchedRequest matched) {
        if (body.isDone()) {
            return;
        }
        Subscription limit =
                context.schedule(
                        matched.deadlineMillis() - context.timer().nowMillis(),
                        () ->
                                body.completeExceptionally(
                                        new TimeoutException(
                                                "the body has not arrived by the deadline")));
        body.whenComplete((bytes, failure) -> limit.cancel());
    }

    private void createRequest(PendingResponse pending, MatchedRequest matched, byte[] body) {
        if (pending.requestId().isEmpty()) {
            refuse(pending, ErrorCode.INVALID_REQUEST, "the request has no attempt id");
            return;
        }
        Request request = pending.request();
        Optional<String> picked = matched.route().pickService(context.random().getAsDouble());
        if (picked.isEmpty()) {
            refuseUnusableRoute(pending, "no service of the route gets requests");
            return;
        }
        String name = picked.get();
        if (matched.routes().isServiceUnusable(name)) {
            refuseUnusableRoute(
                    pending, "the configuration of the service " + name + " cannot be used");
            return;
        }
        DirectService service =
                matched.routes()
                        .service(name)
                        .orElse(
                                new DirectService(
                                        name,
                                        Integer.MAX_VALUE,
                                        Optional.empty(),
                                        Optional.empty()));
        CallerRequest callerRequest =
                new CallerRequest(
                        pending.requestId().get(),
                        Request.getRemoteAddr(request),
                        request.getMethod(),
                        request.getHttpURI().getPathQuery(),
                        HopByHopHeaders.removeFromRequestKeepingHost(request.getHeaders()),
                        body,
                        matched.attributes(),
                        matched.route(),
                        service,
                        matched.workspace(),
                        matched.identity(),
                        matched.priority(),
                        matched.routes().version(),
                        matched.arrivedMillis(),
                        matched.deadlineMillis());
        start(callerRequest, request, pending.response(), pending.callback());
    }

    private void start(
            CallerRequest callerRequest, Request request, Response response, Callback callback) {
        AtomicReference<DirectFlow> flow = new AtomicReference<>();
        AtomicBoolean disconnected = new AtomicBoolean();
        CallerStream caller =
                new CallerStream(
                        request,
                        response,
                        callback,
                        () -> {
                            disconnected.set(true);
                            context.loop().execute(() -> cancel(flow));
                        },
                        context.responseBuffers(),
                        ErrorBody::writeWithFractionalRetryAfter);
        context.runOnLoop(
                () -> {
                    flow.set(flows.create(callerRequest, caller));
                    flow.get().start();
                    if (disconnected.get()) {
                        // The caller disconnected before the flow was set.
                        flow.get().onCallerDisconnect();
                    }
                });
    }

    private static void cancel(AtomicReference<DirectFlow> flow) {
        if (flow.get() != null) {
            flow.get().onCallerDisconnect();
        }
    }

    private static String hostOf(Request request) {
        HttpFields headers = request.getHeaders();
        return Optional.ofNullable(headers.get(HttpHeader.HOST)).orElse("");
    }

    private void refuseWithoutRoute(PendingResponse pending, RouteTable routes) {
        String host = hostOf(pending.request());
        String path = pending.request().getHttpURI().getPath();
        if (routes.isUnusable(host, path)) {
            refuseUnusableRoute(pending, "the configuration of the request's route cannot be used");
        } else {
            refuse(pending, ErrorCode.NOT_FOUND, "no route matches " + host + path);
        }
    }

    private void refuseWithoutWorkspace(
            PendingResponse pending, RouteTable routes, RequestAttributes attributes) {
        HttpFields headers = pending.request().getHeaders();
        boolean hasBody =
                headers.contains(HttpHeader.CONTENT_LENGTH)
                        || headers.contains(HttpHeader.TRANSFER_ENCODING);
        if (hasBody) {
            // The body is not read, so the connection cannot be used again.
            pending.response().getHeaders().put(HttpFields.CONNECTION_CLOSE);
        }
        boolean isUnusable =
                routes.workspaces()
                        .filter(table -> attributes.apiKey().filter(table::isUnusable).isPresent())
                        .isPresent();
        if (isUnusable) {
            refuse(
                    pending,
                    RequestFailure.notRun(
                                    ErrorCode.WORKSPACE_UNUSABLE,
                                    "the configuration of the key's workspace cannot be used")
                            .retryAfter(NEW_CONFIGURATION_RETRY_MILLIS));
        } else {
            context.recorder().recordUnknownKey(pending.requestId(), attributes.apiKey());
            refuse(pending, ErrorCode.UNAUTHORIZED, "the request has no valid key");
        }
    }

    /** Refuses a request that no server may run until the configuration changes. */
    private void refuseUnusableRoute(PendingResponse pending, String message) {
        refuse(
                pending,
                RequestFailure.notRun(ErrorCode.ROUTE_UNUSABLE, message)
                        .retryAfter(NEW_CONFIGURATION_RETRY_MILLIS));
    }

    private void refuseTooLarge(PendingResponse pending, int maximumBytes) {
        refuse(pending, ErrorCode.TOO_LARGE, "the body is larger than " + maximumBytes + " bytes");
    }

    /** Refuses a request whose body was discarded, as other bodies took all memory. */
    private void refuseNoRoom(PendingResponse pending) {
        refuse(
                pending,
                RequestFailure.notRun(
                                ErrorCode.OVERLOADED, "no memory is left for the request's body")
                        .retryAfter(NO_ROOM_RETRY_MILLIS));
    }

    private void refuseDraining(PendingResponse pending) {
        refuse(
                pending,
                RequestFailure.notRun(ErrorCode.DRAINING, "the instance is shutting down")
                        .retryAfter(0));
    }

    private void refuse(PendingResponse pending, ErrorCode code, String message) {
        refuse(pending, RequestFailure.notRun(code, message));
    }

    private void refuse(PendingResponse pending, RequestFailure failure) {
        context.recorder().recordRefusal(pending.requestId(), context.view().routes(), failure);
        ErrorBody.writeWithFractionalRetryAfter(pending.response(), failure, pending.callback());
    }
}
