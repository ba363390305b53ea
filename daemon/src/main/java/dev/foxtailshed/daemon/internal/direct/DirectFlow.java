package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol.AttemptOptions;
import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.daemon.internal.http.HopByHopHeaders;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService.Subscription;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.FailureAction;
import dev.foxtailshed.kernel.direct.ServerSelector;
import dev.foxtailshed.kernel.direct.WindowedRetryBudget;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;

/**
 * The way of one request from its arrival to its final answer.
 *
 * <p>Holds the verdict over all attempts and gives the final answer exactly once: at the latest
 * just before the deadline. Runs on the entry's loop.
 */
abstract class DirectFlow {

    /** Time kept for the final answer to reach the caller before the deadline. */
    private static final long ANSWER_MARGIN_MILLIS = 30;

    /** When to come back after a refusal without a known queue; spread over twice this time. */
    private static final long RETRY_SOON_MILLIS = 100;

    final DirectContext context;
    final CallerRequest request;
    private final CallerStream caller;
    private final Set<Incarnation> tried = new HashSet<>();
    private Verdict verdict = Verdict.NOT_RUN;
    private int attempts;
    private boolean finished;
    private Optional<Subscription> deadlineTimer = Optional.empty();

    DirectFlow(DirectContext context, CallerRequest request, CallerStream caller) {
        this.context = context;
        this.request = request;
        this.caller = caller;
    }

    /** Begins the work. */
    final void start() {
        long leftMillis = remainingMillis() - ANSWER_MARGIN_MILLIS;
        deadlineTimer = Optional.of(context.once(leftMillis, this::deadlinePassed));
        budget().recordRequest(context.timer().nowMillis());
        begin();
    }

    /** The caller went away: all work for it ends. */
    final void callerGone() {
        if (!finished) {
            context.journal().callerGone(request);
            close();
        }
    }

    abstract void begin();

    /** Ends whatever is under way; called once. */
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

    final int serversLeft() {
        return request.route().maximumServers() - tried.size();
    }

    final WindowedRetryBudget budget() {
        return context.budgets().of(request.service().name());
    }

    /** Chooses the server that the request is sent to next; fails the request if none is left. */
    final Optional<DirectServer> chooseServer(ServerSelector selector) {
        Optional<DirectServer> server =
                selector.choose(
                        context.view().servers().of(request.service().name()),
                        tried,
                        context.timer().nowMillis());
        if (server.isPresent()) {
            sending(server.get());
        } else {
            fail("no server of " + request.service().name() + " is left to try");
        }
        return server;
    }

    /** Notes that the request is about to be sent to a server. */
    final void sending(DirectServer server) {
        tried.add(server.incarnation());
        attempts++;
    }

    /** Notes how an attempt ended. */
    final void attemptEnded(DirectServer server, CallOutcome outcome) {
        verdict = verdict.or(outcome.verdict());
        if (outcome == CallOutcome.UNREACHABLE) {
            // Nothing was sent, so the server does not count among those that had the request.
            attempts--;
        }
    }

    /** Decides what follows a failed attempt, within the budget for repeats. */
    final FailureAction nextStep(CallOutcome outcome) {
        int left = remainingMillis() > ANSWER_MARGIN_MILLIS ? serversLeft() : 0;
        if (outcome == CallOutcome.UNREACHABLE) {
            left = Math.max(left, attempts < request.route().maximumServers() ? 1 : 0);
        }
        FailureAction step =
                FailureAction.decide(outcome, verdict, request.route().repeatability(), left);
        boolean first = attempts == 0;
        if (step == FailureAction.TRY_ANOTHER
                && !first
                && !budget().tryRetry(context.timer().nowMillis())) {
            step = FailureAction.decide(outcome, verdict, request.route().repeatability(), 0);
        }
        if (step == FailureAction.TRY_ANOTHER) {
            context.journal().retried(request, outcome, attempts);
        }
        return step;
    }

    final AttemptOptions plainTerms(DirectServer server) {
        return new AttemptOptions(
                server.id(),
                remainingMillis(),
                false,
                Optional.empty(),
                Optional.empty(),
                OptionalLong.empty());
    }

    final boolean isAnswerStarted() {
        return caller.isStarted();
    }

    final void startAnswer(int status, HttpFields headers) {
        caller.start(status, HopByHopHeaders.ofReframedAnswer(headers));
    }

    final void writeAnswer(byte[] bytes) {
        caller.write(bytes);
    }

    /** Completes a streamed answer. */
    final void endAnswer(int status) {
        if (!finished) {
            context.journal().answered(request, status);
            caller.end();
            close();
        }
    }

    /** Gives a whole answer of a server. */
    final void answer(int status, HttpFields headers, byte[] body) {
        if (!finished) {
            context.journal().answered(request, status);
            startAnswer(status, headers);
            caller.endWith(body);
            close();
        }
    }

    /** Ends the request with an error that matches what may have run. */
    final void fail(String message, boolean timedOut, long retryAfterMillis) {
        if (!finished) {
            RequestFailure failure =
                    FailureAction.createFailure(verdict, timedOut, message, retryAfterMillis);
            context.journal().failed(request, failure, attempts);
            caller.fail(failure);
            close();
        }
    }

    final void fail(String message) {
        fail(message, false, retrySoonMillis());
    }

    final long retrySoonMillis() {
        return RETRY_SOON_MILLIS + (long) (RETRY_SOON_MILLIS * context.random().getAsDouble());
    }

    final Verdict verdict() {
        return verdict;
    }

    /** Notes that an attempt under way may have run. */
    final void mayHaveRun() {
        verdict = verdict.or(Verdict.MAY_HAVE_RUN);
    }

    private void deadlinePassed() {
        if (!finished) {
            if (hasAttemptUnderWay()) {
                mayHaveRun();
            }
            fail("the deadline passed", true, retrySoonMillis());
        }
    }

    /** Tells whether a server may be running the request right now. */
    abstract boolean hasAttemptUnderWay();

    private void close() {
        finished = true;
        deadlineTimer.ifPresent(Subscription::cancel);
        cancelWork();
    }
}
