package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol.AttemptOptions;
import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.daemon.internal.http.HopByHopHeaders;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService.Subscription;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.EventSequence;
import dev.foxtailshed.kernel.direct.FailureAction;
import dev.foxtailshed.kernel.direct.RetryAfterCalculator;
import dev.foxtailshed.kernel.direct.ServerSelector;
import dev.foxtailshed.kernel.direct.WindowedRetryBudget;
import dev.foxtailshed.kernel.direct.workspace.Workspace;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;

/**
 * Processes one request from its arrival to its final response.
 *
 * <p>Combines the verdicts of all attempts, and sends exactly one final response, at the latest
 * shortly before the deadline. Runs on the entry's loop.
 */
abstract class DirectFlow {

    /** Time reserved for the final response to reach the caller before the deadline. */
    private static final long RESPONSE_MARGIN_MILLIS = 30;

    /**
     * Shortest Retry-After of a refusal for which no queue length is known; random up to twice this
     * time.
     */
    private static final long RETRY_DELAY_MILLIS = 100;

    /** Callers wait no longer before a retry than this part of the time that they have left. */
    private static final long RETRY_TIME_DIVISOR = 3;

    private static final RetryAfterCalculator RETRY_AFTER = new RetryAfterCalculator();

    final DirectContext context;
    final CallerRequest request;
    private final CallerStream caller;
    private final CrashTracker crashTracker;
    private final Supplier<List<DirectServer>> servers;
    private final Set<Incarnation> tried = new HashSet<>();
    private final List<CallOutcome> outcomes = new ArrayList<>();
    private Verdict verdict = Verdict.NOT_RUN;
    private int attempts;
    private boolean finished;
    private Optional<Subscription> deadlineTimer = Optional.empty();
    private Optional<WorkspaceQuotas.Waiter> creditWaiter = Optional.empty();
    private boolean charged;

    /**
     * Creates a flow.
     *
     * @param context the shared dependencies
     * @param request the request
     * @param caller the response to the caller
     * @param crashTracker tells whether the request crashes servers
     * @param servers supplies the servers that may get the request at the moment
     */
    DirectFlow(
            DirectContext context,
            CallerRequest request,
            CallerStream caller,
            CrashTracker crashTracker,
            Supplier<List<DirectServer>> servers) {
        this.context = context;
        this.request = request;
        this.caller = caller;
        this.crashTracker = crashTracker;
        this.servers = servers;
    }

    /** Starts processing and the deadline timer. */
    final void start() {
        long delayMillis = remainingMillis() - RESPONSE_MARGIN_MILLIS;
        deadlineTimer = Optional.of(context.schedule(delayMillis, this::onDeadline));
        retryBudget().recordRequest(context.timer().nowMillis());
        if (request.workspace().isPresent()) {
            awaitCredit(request.workspace().get());
        } else {
            begin();
        }
    }

    private void awaitCredit(Workspace workspace) {
        creditWaiter =
                context.quotas()
                        .admit(
                                workspace,
                                request.cost(),
                                request.route().targetLatencyMillis(),
                                remainingMillis(),
                                this::onCredit,
                                this::onNoCredit);
    }

    private void onCredit() {
        creditWaiter = Optional.empty();
        charged = true;
        if (!finished) {
            begin();
        }
    }

    private void onNoCredit(long creditAfterMillis) {
        creditWaiter = Optional.empty();
        long retryAfterMillis =
                Math.min(
                        creditAfterMillis + retryDelayMillis(),
                        Math.max(0, remainingMillis()) / RETRY_TIME_DIVISOR);
        fail(
                RequestFailure.notRun(
                                ErrorCode.QUOTA_EXCEEDED, "the limit of the workspace is reached")
                        .retryAfter(retryAfterMillis));
    }

    /** Returns whether a server has got a part of the request, such as its prompt. */
    boolean hasReachedServer() {
        return verdict != Verdict.NOT_RUN || hasAttemptInFlight();
    }

    /** Cancels all work because the caller has disconnected. */
    final void onCallerDisconnect() {
        if (!finished) {
            context.recorder().recordCallerDisconnect(request);
            close();
        }
    }

    abstract void begin();

    /** Cancels all attempts and calls in flight; called once, when the request has finished. */
    abstract void cancelWork();

    final boolean isFinished() {
        return finished;
    }

    final long remainingMillis() {
        return request.deadlineMillis() - context.timer().nowMillis();
    }

    final int attempts() {
        return attempts;
    }

    final int remainingServers() {
        return request.route().maximumServers() - tried.size();
    }

    final WindowedRetryBudget retryBudget() {
        return context.retryBudgets().forService(request.service().name());
    }

    /** Chooses the server for the next attempt; fails the request if there is none. */
    final Optional<DirectServer> chooseServer(ServerSelector selector) {
        if (failIfBlocked()) {
            return Optional.empty();
        }
        long nowMillis = context.timer().nowMillis();
        List<DirectServer> untried = untriedServers();
        Optional<DirectServer> server =
                selector.choose(
                        context.rateLimits().withCapacity(untried, nowMillis), tried, nowMillis);
        if (server.isPresent()) {
            recordAttemptStart(server.get());
        } else if (servers.get().isEmpty()) {
            fail(
                    "no server of " + request.service().name() + " may get requests",
                    false,
                    RETRY_AFTER.retryAfterMillis(
                            0, remainingMillis(), context.random().getAsDouble()));
        } else if (untried.isEmpty()) {
            fail("no server of " + request.service().name() + " is left to try");
        } else {
            fail(
                    "the servers of " + request.service().name() + " take no more requests now",
                    false,
                    limitRetryMillis(untried, nowMillis));
        }
        return server;
    }

    /** Returns the time until a limited server may get a request, with a random part. */
    private long limitRetryMillis(List<DirectServer> servers, long nowMillis) {
        return context.rateLimits().waitMillis(servers, nowMillis) + retryDelayMillis();
    }

    private List<DirectServer> untriedServers() {
        return servers.get().stream()
                .filter(server -> !tried.contains(server.incarnation()))
                .toList();
    }

    /** Returns whether a plain request could be sent to another server at once. */
    private boolean hasServerWithCapacity() {
        return request.service().engine().isPresent()
                || !context.rateLimits()
                        .withCapacity(untriedServers(), context.timer().nowMillis())
                        .isEmpty();
    }

    /** Records that the request is about to be sent to a server. */
    final void recordAttemptStart(DirectServer server) {
        tried.add(server.incarnation());
        attempts++;
        crashTracker.recordAttemptStart();
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param call the attempt
     * @param outcome the outcome
     * @param begun whether any server had begun to answer
     * @param events the events of this attempt that had arrived; 1 for the head of a response
     *     without events
     */
    final void recordAttemptEnd(BackendCall call, CallOutcome outcome, boolean begun, int events) {
        outcomes.add(outcome);
        verdict = verdict.or(outcome.verdict());
        if (outcome == CallOutcome.ANSWERED) {
            recordAnswer();
            crashTracker.recordCompleteAnswer(call.elapsedMillis());
        } else if (!begun) {
            recordBrokenStart(call);
        } else if (call.isConnectionLost()) {
            crashTracker.recordBrokenRun(call.server(), events, call.elapsedMillis());
        }
        if (outcome == CallOutcome.UNREACHABLE) {
            // Nothing was sent, so the server does not count as one that got the request.
            attempts--;
        }
    }

    /** Records that a server has begun to answer, so that the request does not crash servers. */
    final void recordAnswer() {
        crashTracker.recordAnswer();
    }

    /** Records that events of the current attempt have arrived; the number is of all of them. */
    final void recordEvents(int events) {
        crashTracker.recordEvents(events);
    }

    /** Records a call that ended before an answer began, in case its server has crashed. */
    final void recordBrokenStart(BackendCall call) {
        if (call.isConnectionLost()) {
            crashTracker.recordBrokenStart(call.server(), call.elapsedMillis());
        }
    }

    /** Fails the request if it crashes servers, which may have become known meanwhile. */
    final boolean failIfBlocked() {
        boolean blocked = crashTracker.isBlocked();
        if (blocked) {
            fail(
                    FailureAction.createBlockedFailure(
                            verdict, "servers crash when they begin to answer this request"));
        }
        return blocked;
    }

    /** Decides how to proceed after a failed attempt, within the retry budget. */
    final FailureAction chooseAction(CallOutcome outcome) {
        boolean mayTryAnother =
                remainingMillis() > RESPONSE_MARGIN_MILLIS && hasServerWithCapacity();
        int serversLeft = mayTryAnother ? remainingServers() : 0;
        if (outcome == CallOutcome.UNREACHABLE) {
            serversLeft =
                    Math.max(serversLeft, attempts < request.route().maximumServers() ? 1 : 0);
        }
        FailureAction action =
                FailureAction.decide(
                        outcome, verdict, request.route().repeatability(), serversLeft);
        boolean nothingSent = attempts == 0;
        if (action == FailureAction.TRY_ANOTHER
                && !nothingSent
                && !retryBudget().tryRetry(context.timer().nowMillis())) {
            action = FailureAction.decide(outcome, verdict, request.route().repeatability(), 0);
        }
        if (action == FailureAction.TRY_ANOTHER) {
            context.recorder().recordRetry(request, outcome, attempts);
        }
        return action;
    }

    final AttemptOptions plainOptions(DirectServer server) {
        return new AttemptOptions(
                server.id(),
                remainingMillis(),
                false,
                Optional.empty(),
                Optional.empty(),
                OptionalLong.empty(),
                request.identity());
    }

    /** Creates the check of a stream's order, beginning where the caller resumes the stream. */
    final EventSequence newEventSequence() {
        // A server ignores the caller's last id where a route's streams cannot be resumed.
        return new EventSequence(
                request.route().repeatability().mayRunAgain()
                        ? request.attributes().resumeAfterEventId()
                        : OptionalLong.empty());
    }

    final boolean isResponseStarted() {
        return caller.isStarted();
    }

    final void startResponse(int status, HttpFields headers) {
        caller.start(status, HopByHopHeaders.removeFromReframedResponse(headers));
    }

    final void writeResponse(byte[] bytes) {
        caller.write(bytes);
    }

    /** Calls back, on any thread, when the caller has read most of what was written. */
    final void whenResponseWritable(Runnable next) {
        caller.whenWritable(next);
    }

    /** Returns whether {@link #whenResponseWritable} waits for the caller to read. */
    final boolean isWaitingForCaller() {
        return caller.isProducerWaiting();
    }

    /** Completes a streamed response. */
    final void endResponse(int status) {
        if (!finished) {
            context.recorder().recordResponse(request, status);
            caller.end();
            close();
        }
    }

    /** Sends a complete response of a server to the caller. */
    final void sendResponse(int status, HttpFields headers, List<byte[]> body) {
        if (!finished) {
            context.recorder().recordResponse(request, status);
            startResponse(status, headers);
            caller.endWith(body);
            close();
        }
    }

    /** Fails the request with the error that its verdict requires. */
    final void fail(String message, boolean timedOut, long retryAfterMillis) {
        fail(FailureAction.createFailure(verdict, timedOut, message, retryAfterMillis));
    }

    private void fail(RequestFailure failure) {
        if (!finished) {
            context.recorder().recordFailure(request, failure, attempts, outcomes);
            caller.fail(failure);
            close();
        }
    }

    final void fail(String message) {
        fail(message, false, retryDelayMillis());
    }

    final long retryDelayMillis() {
        return RETRY_DELAY_MILLIS + (long) (RETRY_DELAY_MILLIS * context.random().getAsDouble());
    }

    final Verdict verdict() {
        return verdict;
    }

    /** Records that an attempt in flight may have run. */
    final void markMayHaveRun() {
        verdict = verdict.or(Verdict.MAY_HAVE_RUN);
    }

    private void onDeadline() {
        if (!finished) {
            if (hasAttemptInFlight()) {
                markMayHaveRun();
            }
            fail("the deadline has passed", true, retryDelayMillis());
        }
    }

    /** Returns whether a server may be running the request at the moment. */
    abstract boolean hasAttemptInFlight();

    private void close() {
        finished = true;
        deadlineTimer.ifPresent(Subscription::cancel);
        creditWaiter.ifPresent(WorkspaceQuotas.Waiter::cancel);
        if (charged && !hasReachedServer()) {
            request.workspace()
                    .ifPresent(workspace -> context.quotas().refund(workspace, request.cost()));
        }
        cancelWork();
    }
}
