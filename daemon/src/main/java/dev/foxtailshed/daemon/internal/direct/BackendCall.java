package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol;
import dev.foxtailshed.daemon.hosting.ServerProtocol.AttemptOptions;
import dev.foxtailshed.daemon.hosting.ServerProtocol.ResponseHead;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.http.HttpExchange;
import dev.foxtailshed.daemon.internal.http.HttpExchange.ConnectionUse;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService.Subscription;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.ResponseStatus;
import dev.foxtailshed.kernel.direct.ServerHealth;
import dev.foxtailshed.kernel.direct.ServerRateLimits;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * One attempt to run a caller's request at one backend server.
 *
 * <p>A response reaches the listener only if it names this request, comes from the expected server
 * and carries that server's seal. Any other response closes the connection, since its bytes may
 * belong to another request. All methods and listeners run on the entry's loop.
 */
final class BackendCall implements HttpExchange.Handler {

    private static final int SUCCESS_CLASS = 2;
    private static final int STATUSES_PER_CLASS = 100;

    /**
     * Longest body of a refusal that is read so that its connection can be used again; a longer one
     * may never end.
     */
    private static final int MAXIMUM_DISCARDED_BYTES = 64 << 10;

    private final DirectContext context;
    private final CallerRequest request;
    private final DirectServer server;
    private final boolean prefillOnly;
    private final Listener listener;
    private final ServerHealth health;
    private final long startedMillis;
    private final AttemptOptions options;
    private Optional<HttpExchange> exchange = Optional.empty();
    private CallOutcome outcome = CallOutcome.BROKEN;
    private String detail = "";
    private boolean forwarding;
    private boolean ended;
    private boolean connectionLost;
    private long discardedBytes;
    private Optional<Subscription> responseTimer = Optional.empty();

    /** Receives the response of an attempt and its end. */
    interface Listener {
        /** Called with the head of a valid response. */
        void onHead(int status, HttpFields headers);

        /** Called with the next bytes of the body. */
        void onBytes(byte[] bytes);

        /** Calls back when there is room for the next bytes; the server is not read until then. */
        default void whenWritable(Runnable next) {
            next.run();
        }

        /**
         * Called when a valid response ends with complete framing.
         *
         * @return what is missing from the response, empty if it is complete
         */
        default Optional<String> findMissingPart() {
            return Optional.empty();
        }

        /** Called when the attempt has ended; the last call. */
        void onEnd(CallOutcome outcome, String detail);
    }

    BackendCall(
            DirectContext context,
            CallerRequest request,
            DirectServer server,
            AttemptOptions options,
            Listener listener) {
        this.context = context;
        this.request = request;
        this.server = server;
        this.prefillOnly = options.prefillOnly();
        this.listener = listener;
        this.health = context.health().get(server);
        this.startedMillis = context.timer().nowMillis();
        this.options = options;
    }

    void send() {
        health.recordStart();
        context.rateLimits().recordSent(server, startedMillis);
        try {
            exchange = Optional.of(new HttpExchange(newRequest(), this));
        } catch (RuntimeException e) {
            // Nothing was sent, so the server counts as one that cannot be reached.
            EventLog.logUnexpected("request to " + server.id(), e);
            context.loop()
                    .execute(() -> end(CallOutcome.UNREACHABLE, "no request can be made: " + e));
        }
        exchange.ifPresent(HttpExchange::send);
    }

    /** Aborts the attempt if the head of the response does not arrive within a time. */
    void setResponseTimeout(long millis) {
        responseTimer =
                Optional.of(
                        context.schedule(
                                millis,
                                () -> {
                                    if (!forwarding) {
                                        abort(
                                                CallOutcome.SILENT,
                                                "no response within " + millis + " ms");
                                    }
                                }));
    }

    /** Cancels the attempt; closing the connection also makes the server stop its work. */
    void cancel() {
        abort(CallOutcome.CANCELLED, "cancelled");
    }

    /** Aborts the attempt because of a failure of the server. */
    void abort(CallOutcome finalOutcome, String finalDetail) {
        if (!ended) {
            end(finalOutcome, finalDetail);
            exchange.ifPresent(HttpExchange::abort);
        }
    }

    /**
     * Aborts the attempt soon, since its response holds the most memory of all; may be called on
     * any thread.
     */
    void giveUpForMemory() {
        context.loop()
                .execute(
                        () ->
                                abort(
                                        CallOutcome.BROKEN,
                                        "the response is the largest, and memory is short"));
    }

    DirectServer server() {
        return server;
    }

    /** Returns whether the attempt ended because the server, or a path to it, closed or reset. */
    boolean isConnectionLost() {
        return connectionLost;
    }

    /** Returns the connection on which sending has begun, empty if it has not begun. */
    Optional<ConnectionUse> connectionUse() {
        return exchange.flatMap(HttpExchange::connectionUse);
    }

    long elapsedMillis() {
        return context.timer().nowMillis() - startedMillis;
    }

    private Request newRequest() {
        ServerProtocol protocol = context.platform().serverProtocol();
        HttpFields headers = protocol.buildRequestHeaders(request.headers(), options);
        Request call =
                context.backendRequest(server, request.method(), request.target())
                        .headers(fields -> fields.add(headers))
                        .idleTimeout(options.remainingMillis() + 1_000, TimeUnit.MILLISECONDS);
        if (request.body().length > 0) {
            String type = request.headers().get(HttpHeader.CONTENT_TYPE);
            call.body(
                    type == null
                            ? new BytesRequestContent(request.body())
                            : new BytesRequestContent(type, request.body()));
        }
        return call;
    }

    @Override
    public void onHead(Response response) {
        int status = response.getStatus();
        HttpFields headers = response.getHeaders();
        ResponseHead head = context.platform().serverProtocol().parseHead(status, headers);
        if (head.notRun() && mayReturnToServer()) {
            // Not on the loop, where the response may have ended and its connection be in use.
            context.runOnLoop(() -> endRefused(status, headers, head));
            exchange.ifPresent(HttpExchange::abort);
        } else {
            context.runOnLoop(() -> readHead(status, headers, head));
        }
    }

    /**
     * Returns whether the request may be sent to this server again. A refusal then closes its
     * connection: a late copy of it could not be told from the response to the next attempt, since
     * it names the same request.
     */
    private boolean mayReturnToServer() {
        return request.service().engine().isPresent();
    }

    private void endRefused(int status, HttpFields headers, ResponseHead head) {
        readHead(status, headers, head);
        end(outcome, detail);
    }

    @Override
    public void onBytes(Response response, byte[] bytes, Runnable next) {
        context.runOnLoop(
                () -> {
                    if (forwarding && !ended) {
                        listener.onBytes(bytes);
                        listener.whenWritable(next);
                    } else {
                        discard(bytes.length);
                        next.run();
                    }
                });
    }

    private void discard(int bytes) {
        discardedBytes += bytes;
        if (discardedBytes > MAXIMUM_DISCARDED_BYTES) {
            abort(outcome, detail + ", with an endless body");
        }
    }

    @Override
    public void onComplete(Response response) {
        context.runOnLoop(
                () -> {
                    Optional<String> missing =
                            forwarding && !ended ? listener.findMissingPart() : Optional.empty();
                    if (missing.isPresent()) {
                        end(CallOutcome.BROKEN, missing.get());
                    } else {
                        end(outcome, detail);
                    }
                });
    }

    @Override
    public void onFailure(RequestFailure failure) {
        context.runOnLoop(
                () -> {
                    CallOutcome failed = outcomeOf(failure);
                    connectionLost = !ended && failed == CallOutcome.BROKEN;
                    end(failed, failure.message());
                });
    }

    @Override
    public void onAborted() {
        context.runOnLoop(() -> end(CallOutcome.CANCELLED, "cancelled"));
    }

    private static CallOutcome outcomeOf(RequestFailure failure) {
        if (failure.verdict() == Verdict.NOT_RUN) {
            return CallOutcome.UNREACHABLE;
        }
        return failure.code() == ErrorCode.TIMEOUT ? CallOutcome.SILENT : CallOutcome.BROKEN;
    }

    private void readHead(int status, HttpFields headers, ResponseHead head) {
        if (ended) {
            return;
        }
        if (head.attemptId().equals(Optional.of(request.id())) && head.saysLeaving(server.id())) {
            context.view().recordLeaving(server, "request " + request.id());
        }
        Optional<String> problem = findProblem(status, headers, head);
        if (problem.isEmpty() && !head.wrongServer()) {
            recordRequestLimit(head);
        }
        if (problem.isPresent()) {
            abort(CallOutcome.BROKEN, problem.get());
        } else if (head.wrongServer()) {
            setOutcome(CallOutcome.WRONG_SERVER, "another server has the address");
        } else if (head.notRun()) {
            setOutcome(CallOutcome.REFUSED, "refused with status " + status);
        } else {
            boolean failed = status >= HttpStatus.INTERNAL_SERVER_ERROR_500;
            setOutcome(
                    failed ? CallOutcome.SERVER_ERROR : CallOutcome.ANSWERED, "status " + status);
            forwarding = true;
            responseTimer.ifPresent(Subscription::cancel);
            listener.onHead(status, headers);
        }
    }

    private void recordRequestLimit(ResponseHead head) {
        OptionalDouble rate =
                head.requestLimit().map(ServerRateLimits::parseRate).orElse(OptionalDouble.empty());
        if (head.requestLimit().isPresent() && rate.isEmpty()) {
            context.recorder().recordUnreadableLimit(server, head.requestLimit().get());
            return;
        }
        if (head.notRun() && rate.isEmpty()) {
            // A refusal that names no limit does not tell that the server has none.
            return;
        }
        ServerRateLimits.Change change =
                context.rateLimits()
                        .recordResponse(server, rate, startedMillis, context.timer().nowMillis());
        context.recorder().recordLimitChange(server, rate, change);
    }

    private void setOutcome(CallOutcome newOutcome, String newDetail) {
        outcome = newOutcome;
        detail = newDetail;
    }

    private Optional<String> findProblem(int status, HttpFields headers, ResponseHead head) {
        if (!ResponseStatus.isFinal(status)) {
            return Optional.of("status " + status + " is not that of a final response");
        }
        if (head.attemptId().isEmpty()) {
            // It may be an earlier response that was written once more.
            return Optional.of("status " + status + " without a request id");
        }
        if (!head.attemptId().get().equals(request.id())) {
            return Optional.of("the response belongs to request " + head.attemptId().get());
        }
        if (head.notRun()) {
            return Optional.empty();
        }
        boolean success = status / STATUSES_PER_CLASS == SUCCESS_CLASS;
        if (prefillOnly) {
            return success
                    ? Optional.empty()
                    : Optional.of("the prefill failed with status " + status);
        }
        if (head.promisesNotRun()) {
            return Optional.of("status " + status + " of a request that may have run");
        }
        if (!head.sealed()) {
            return Optional.of("status " + status + " without a seal");
        }
        if (headers.contains(HttpHeader.CONTENT_ENCODING)) {
            return Optional.of("the response has a content encoding");
        }
        return Optional.empty();
    }

    private void end(CallOutcome finalOutcome, String finalDetail) {
        if (ended) {
            return;
        }
        ended = true;
        responseTimer.ifPresent(Subscription::cancel);
        health.recordEnd(finalOutcome, elapsedMillis(), context.timer().nowMillis());
        context.recorder().recordAttemptEnd(request, this, finalOutcome, finalDetail);
        listener.onEnd(finalOutcome, finalDetail);
    }
}
