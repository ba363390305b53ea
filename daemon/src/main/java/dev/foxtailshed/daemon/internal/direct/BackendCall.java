package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol;
import dev.foxtailshed.daemon.hosting.ServerProtocol.AnswerHead;
import dev.foxtailshed.daemon.hosting.ServerProtocol.AttemptOptions;
import dev.foxtailshed.daemon.internal.http.HttpExchange;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService.Subscription;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.ServerHealth;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * One attempt of a caller's request at one backend server.
 *
 * <p>Only an answer that names this request, comes from the expected server and bears its seal
 * reaches the listener; anything else closes the connection, since its bytes may belong to another
 * request. All methods and listeners run on the entry's loop.
 */
final class BackendCall implements HttpExchange.Handler {

    private static final int SUCCESS = 2;
    private static final int STATUS_CLASS = 100;

    private final DirectContext context;
    private final CallerRequest request;
    private final DirectServer server;
    private final boolean prefillOnly;
    private final Listener listener;
    private final ServerHealth health;
    private final long startedMillis;
    private final HttpExchange exchange;
    private CallOutcome outcome = CallOutcome.BROKEN;
    private String detail = "";
    private boolean passing;
    private boolean ended;
    private Optional<Subscription> silenceTimer = Optional.empty();

    /** Hears what becomes of an attempt. */
    interface Listener {
        /** A valid head came. */
        void onHead(int status, HttpFields headers);

        /** Bytes of the body came. */
        void onBytes(byte[] bytes);

        /** The attempt ended; nothing follows. */
        void onEnd(CallOutcome outcome, String detail);
    }

    BackendCall(
            DirectContext context,
            CallerRequest request,
            DirectServer server,
            AttemptOptions terms,
            Listener listener) {
        this.context = context;
        this.request = request;
        this.server = server;
        this.prefillOnly = terms.prefillOnly();
        this.listener = listener;
        this.health = context.health().get(server);
        this.startedMillis = context.timer().nowMillis();
        this.exchange = new HttpExchange(newRequest(terms), this);
    }

    void send() {
        health.recordStart();
        exchange.send();
    }

    /** Gives the attempt up unless its head comes within a time. */
    void limitSilence(long millis) {
        silenceTimer =
                Optional.of(
                        context.once(
                                millis,
                                () -> {
                                    if (!passing) {
                                        abort(CallOutcome.SILENT, "no answer in " + millis + " ms");
                                    }
                                }));
    }

    /** Gives the attempt up, which also makes the server stop its work. */
    void cancel() {
        abort(CallOutcome.CANCELLED, "cancelled");
    }

    /** Gives the attempt up for a reason that speaks against the server. */
    void abort(CallOutcome reason, String why) {
        if (!ended) {
            end(reason, why);
            exchange.abort();
        }
    }

    DirectServer server() {
        return server;
    }

    long elapsedMillis() {
        return context.timer().nowMillis() - startedMillis;
    }

    private Request newRequest(AttemptOptions terms) {
        ServerProtocol protocol = context.platform().servers();
        HttpFields headers = protocol.requestHeaders(request.headers(), terms);
        Request call =
                context.backendRequest(server, request.method(), request.target())
                        .headers(fields -> fields.add(headers))
                        .idleTimeout(terms.remainingMillis() + 1_000, TimeUnit.MILLISECONDS);
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
        context.onLoop(() -> readHead(status, headers));
    }

    @Override
    public void onBytes(Response response, byte[] bytes, Runnable next) {
        context.onLoop(
                () -> {
                    if (passing && !ended) {
                        listener.onBytes(bytes);
                    }
                    next.run();
                });
    }

    @Override
    public void onComplete(Response response) {
        context.onLoop(() -> end(outcome, detail));
    }

    @Override
    public void onFailure(RequestFailure failure) {
        context.onLoop(() -> end(outcomeOf(failure), failure.message()));
    }

    @Override
    public void onAborted() {
        context.onLoop(() -> end(CallOutcome.CANCELLED, "cancelled"));
    }

    private static CallOutcome outcomeOf(RequestFailure failure) {
        if (failure.verdict() == Verdict.NOT_RUN) {
            return CallOutcome.UNREACHABLE;
        }
        return failure.code() == ErrorCode.TIMEOUT ? CallOutcome.SILENT : CallOutcome.BROKEN;
    }

    private void readHead(int status, HttpFields headers) {
        if (ended) {
            return;
        }
        AnswerHead head = context.platform().servers().readHead(status, headers);
        Optional<String> problem = problemOf(status, headers, head);
        if (problem.isPresent()) {
            abort(CallOutcome.BROKEN, problem.get());
        } else if (head.wrongServer()) {
            note(CallOutcome.WRONG_SERVER, "another server has the address");
        } else if (head.notRun()) {
            note(CallOutcome.REFUSED, "refused with status " + status);
        } else {
            boolean failed = status >= HttpStatus.INTERNAL_SERVER_ERROR_500;
            note(failed ? CallOutcome.SERVER_ERROR : CallOutcome.ANSWERED, "status " + status);
            passing = true;
            silenceTimer.ifPresent(Subscription::cancel);
            listener.onHead(status, headers);
        }
    }

    private void note(CallOutcome noted, String why) {
        outcome = noted;
        detail = why;
    }

    private Optional<String> problemOf(int status, HttpFields headers, AnswerHead head) {
        boolean named = head.attemptId().isPresent();
        if (named && !head.attemptId().get().equals(request.id())) {
            return Optional.of("the answer belongs to request " + head.attemptId().get());
        }
        if (head.notRun()) {
            return Optional.empty();
        }
        boolean success = status / STATUS_CLASS == SUCCESS;
        if (prefillOnly) {
            return success ? Optional.empty() : Optional.of("prefill answered " + status);
        }
        if (!named) {
            return Optional.of("status " + status + " names no request");
        }
        if (!head.sealed()) {
            return Optional.of("status " + status + " bears no seal");
        }
        if (headers.contains(HttpHeader.CONTENT_ENCODING)) {
            return Optional.of("the body is encoded");
        }
        return Optional.empty();
    }

    private void end(CallOutcome reason, String why) {
        if (ended) {
            return;
        }
        ended = true;
        silenceTimer.ifPresent(Subscription::cancel);
        health.recordEnd(reason, elapsedMillis(), context.timer().nowMillis());
        context.journal().attemptEnded(request, this, reason, why);
        listener.onEnd(reason, why);
    }
}
