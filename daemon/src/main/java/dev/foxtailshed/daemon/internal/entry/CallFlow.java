package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.entry.EntryMetrics.MetricLabels;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.daemon.internal.serial.SerialTimer;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.admission.QueuedRequest;
import dev.foxtailshed.kernel.manifest.RequestClass;
import dev.foxtailshed.kernel.record.AttemptRecord;
import dev.foxtailshed.kernel.routing.Demand;
import dev.foxtailshed.kernel.routing.Router;
import dev.foxtailshed.kernel.routing.ServerView;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.WorkKind;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Serves one call to a plain service.
 *
 * <p>An idempotent call is dispatched in one message and may be retried after any failure. Any
 * other call is offered first and committed after the grant; it is retried only if it is proved not
 * to have run, and after a lost connection the sidecar is queried for the outcome. Once committed,
 * it runs to its end, even if its caller has disconnected or has received a timeout error. Confined
 * to its serial executor.
 */
final class CallFlow implements AttemptListener {

    private static final long OFFER_TIMEOUT_MILLIS = 1_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** Extra time, beyond the class timeout, to wait for the outcome of a run without a caller. */
    private static final long OUTCOME_GRACE_MILLIS = 5_000;

    /**
     * Refusals that do not count as attempts, since another server, or the same one a moment later,
     * may accept the call.
     */
    private static final Set<ErrorCode> UNCOUNTED_REFUSALS =
            Set.of(ErrorCode.OVERLOADED, ErrorCode.VERSION_CONFLICT, ErrorCode.DRAINING);

    private static final RequestFailure CALLER_DISCONNECTED =
            RequestFailure.notRun(ErrorCode.CANCELLED, "the caller closed the connection");

    private final EntryContext context;
    private ResolvedCall call;
    private final SerialExecutor serial;
    private final SerialTimer timer;
    private final long arrival;
    private final long startMillis;
    private final RequestOutcomeRecorder recorder;
    private Router router;
    private final Set<String> excluded = new HashSet<>();
    private CallAnswerWriter answer;
    private Runnable onDone = () -> {};
    private Optional<Attempt> current = Optional.empty();
    private Optional<OutcomePoller> outcomePoller = Optional.empty();
    private Optional<WaitQueue.Waiter> waiter = Optional.empty();
    private TimerService.Subscription deadline = () -> {};
    private int attempts;
    private Runnable recordAtEnd = () -> {};
    private boolean detached;
    private boolean done;

    CallFlow(EntryContext context, ResolvedCall call, long arrival) {
        this.context = context;
        this.call = call;
        this.serial = new SerialExecutor(context.executor());
        this.timer = new SerialTimer(context.timer(), serial);
        this.arrival = arrival;
        this.startMillis = context.timer().nowMillis();
        MetricLabels labels =
                new MetricLabels(call.deployment().name(), call.requestClass().name());
        this.recorder = context.newOutcomeRecorder(labels, arrival, call.route().repeatable());
        this.router = context.routingStrategies().router(call.policy(), call.pool());
    }

    /** Starts the call; {@code whenDone} runs once, when it has ended completely. */
    void start(CallAnswerWriter callAnswer, Runnable whenDone) {
        open(callAnswer, whenDone, this::begin);
    }

    /** Ends the call without running it; {@code whenDone} runs once. */
    void refuse(CallAnswerWriter callAnswer, RequestFailure failure, Runnable whenDone) {
        open(callAnswer, whenDone, () -> fail(failure));
    }

    /**
     * Replays the stored answer of a call with the same idempotency key; {@code whenDone} runs
     * once.
     */
    void replay(CallAnswerWriter callAnswer, Message.StoredAnswer stored, Runnable whenDone) {
        open(callAnswer, whenDone, () -> writeStored(stored));
    }

    private void open(CallAnswerWriter callAnswer, Runnable whenDone, Runnable next) {
        serial.executeOrEnqueue(
                () -> {
                    answer = callAnswer;
                    onDone = whenDone;
                    if (done) {
                        answer.fail(CALLER_DISCONNECTED);
                        onDone.run();
                    } else {
                        next.run();
                    }
                });
    }

    /** Handles a disconnected caller; a committed call still runs to its end at the sidecar. */
    void onCallerDisconnected() {
        serial.execute(
                () -> {
                    if (!done && !detached) {
                        endForCaller(CALLER_DISCONNECTED, recorder::recordCallerDisconnected);
                    }
                });
    }

    private void begin() {
        context.retryBudgets()
                .forDeployment(call.deployment().name())
                .addRequest(call.policy().retryBudgetPercent());
        long leftMillis = Math.max(0, call.requestClass().timeoutMillis() - elapsedMillis());
        deadline = timer.once(leftMillis, this::onDeadline);
        startAttempt();
    }

    private long elapsedMillis() {
        return context.timer().nowMillis() - startMillis;
    }

    /** Ends the call for its caller; a committed run is still followed to its end. */
    private void endForCaller(RequestFailure failure, Runnable recordOutcome) {
        if (!isCommitted()) {
            endCurrent();
            if (answer != null) {
                answer.fail(failure);
            }
            recordOutcome.run();
            finish();
            return;
        }
        answer.reportFailure(failure.withVerdict(Verdict.MAY_HAVE_RUN));
        detached = true;
        recordAtEnd = recordOutcome;
        deadline.cancel();
        long limitMillis = call.requestClass().timeoutMillis() + OUTCOME_GRACE_MILLIS;
        deadline = timer.once(limitMillis, this::onOutcomeTimeout);
    }

    private boolean isCommitted() {
        boolean mayHaveRun = outcomePoller.isPresent() || verdictOfCurrent() != Verdict.NOT_RUN;
        return mayHaveRun && !call.route().repeatable();
    }

    private Verdict verdictOfCurrent() {
        return current.map(Attempt::verdict).orElse(Verdict.NOT_RUN);
    }

    private void onOutcomeTimeout() {
        if (!done) {
            fail(
                    RequestFailure.of(
                            Verdict.MAY_HAVE_RUN,
                            ErrorCode.OUTCOME_UNKNOWN,
                            "no outcome of the run arrived in time"));
        }
    }

    private void startAttempt() {
        if (done) {
            return;
        }
        waiter = Optional.empty();
        Either<RequestFailure, ResolvedCall> resolvedAgain =
                call.resolveAgain(context.manifests().inForce());
        if (resolvedAgain.isLeft()) {
            fail(resolvedAgain.getLeft());
            return;
        }
        call = resolvedAgain.get();
        router = context.routingStrategies().router(call.policy(), call.pool());
        offer();
    }

    private void offer() {
        Optional<SidecarConnection> connection = chooseServer();
        if (connection.isEmpty()) {
            enqueue();
            return;
        }
        Attempt attempt =
                new Attempt(
                        context.nextAttemptId(attempts),
                        connection.get(),
                        serial,
                        context.timer(),
                        this);
        current = Optional.of(attempt);
        Message.Offer offer =
                new Message.Offer(
                        attempt.id(),
                        WorkKind.CALL,
                        call.deployment().name(),
                        call.inForce().version(),
                        0,
                        0,
                        call.requestClass().priority(),
                        0);
        if (call.route().repeatable()) {
            serial.execute(() -> attempt.dispatch(offer, call.work()));
        } else {
            serial.execute(() -> attempt.offer(offer, OFFER_TIMEOUT_MILLIS));
        }
    }

    private Optional<SidecarConnection> chooseServer() {
        Demand demand = new Demand(context.zone(), 0, 0, 0, Map.of(), excluded);
        return router.choose(context.sidecars().views(call.servers()), demand)
                .map(ServerView::name)
                .flatMap(context.sidecars()::connection);
    }

    @Override
    public void onEnded(AttemptRecord ended) {
        recorder.addAttempt(ended);
    }

    @Override
    public void onGranted(Attempt attempt) {
        if (!isCurrent(attempt)) {
            return;
        }
        // After a pause of the process, a grant can be handled before the overdue deadline timer.
        if (elapsedMillis() > call.requestClass().timeoutMillis()) {
            onDeadline();
        } else {
            attempt.commit(call.work());
        }
    }

    @Override
    public void onHead(Attempt attempt, Message.AnswerHead head) {
        if (isCurrent(attempt)) {
            answer.writeHead(head.status(), head.headers());
        }
    }

    @Override
    public void onPart(Attempt attempt, Message.AnswerPart part) {
        if (isCurrent(attempt)) {
            answer.writePart(part.content());
        }
    }

    @Override
    public void onCompleted(Attempt attempt, Message.AnswerEnd end) {
        if (isCurrent(attempt)) {
            complete();
        }
    }

    private void complete() {
        current = Optional.empty();
        answer.end();
        if (detached) {
            recordAtEnd.run();
        } else {
            long tookMillis = elapsedMillis();
            boolean met = tookMillis <= call.requestClass().timeToFirstTokenMillis();
            recorder.recordAnswered(met, tookMillis, 0);
        }
        finish();
    }

    @Override
    public void onFailed(Attempt attempt, RequestFailure failure) {
        if (done || !isCurrent(attempt)) {
            return;
        }
        current = Optional.empty();
        boolean unknown =
                failure.verdict() == Verdict.MAY_HAVE_RUN
                        && failure.code() == ErrorCode.CONNECTION_LOST;
        if (unknown && !call.route().repeatable() && !answer.isStarted()) {
            pollOutcome(attempt, failure);
        } else {
            retryOrFail(attempt, failure);
        }
    }

    private void pollOutcome(Attempt attempt, RequestFailure failure) {
        OutcomePoller next =
                new OutcomePoller(
                        attempt,
                        serial,
                        context.timer(),
                        outcome -> onOutcome(attempt, failure, outcome));
        outcomePoller = Optional.of(next);
        next.start();
    }

    private void onOutcome(Attempt attempt, RequestFailure failure, Message.Outcome outcome) {
        outcomePoller = Optional.empty();
        recorder.updateVerdict(attempt, outcome.verdict());
        if (done) {
            return;
        }
        if (outcome.verdict() == Verdict.RAN && outcome.answer().isPresent()) {
            writeStored(outcome.answer().get());
        } else {
            retryOrFail(attempt, failure.withVerdict(outcome.verdict()));
        }
    }

    private void writeStored(Message.StoredAnswer stored) {
        answer.writeHead(stored.status(), stored.headers());
        answer.writePart(stored.body());
        complete();
    }

    private void retryOrFail(Attempt attempt, RequestFailure failure) {
        boolean mayRetry = failure.verdict() == Verdict.NOT_RUN || call.route().repeatable();
        if (!mayRetry || detached || answer.isStarted()) {
            fail(failure);
            return;
        }
        excluded.add(attempt.connection().serverName());
        boolean refused = UNCOUNTED_REFUSALS.contains(failure.code());
        attempts += refused ? 0 : 1;
        boolean affordable =
                refused
                        || context.retryBudgets()
                                .forDeployment(call.deployment().name())
                                .tryRetry();
        if (attempts >= call.policy().maximumAttempts() || !affordable) {
            fail(failure);
            return;
        }
        recorder.recordRetry(attempt.connection().serverName(), failure);
        startAttempt();
    }

    private void enqueue() {
        excluded.clear();
        if (context.waitQueue().size() >= call.policy().queueLimit()) {
            fail(
                    RequestFailure.notRun(ErrorCode.OVERLOADED, "the queue is full")
                            .retryAfter(RETRY_AFTER_MILLIS));
            return;
        }
        WaitQueue.Waiter next =
                new WaitQueue.Waiter(
                        call.pool().name(),
                        queuedRequest(),
                        () -> serial.execute(this::startAttempt));
        waiter = Optional.of(next);
        context.waitQueue().add(next, RoutingStrategies.queueOrder(call.policy()));
    }

    private QueuedRequest queuedRequest() {
        RequestClass requestClass = call.requestClass();
        return new QueuedRequest(
                arrival,
                requestClass.priority(),
                requestClass.patient(),
                false,
                startMillis + requestClass.timeToFirstTokenMillis(),
                startMillis + requestClass.timeoutMillis() / 2);
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        Verdict known = outcomePoller.isPresent() ? Verdict.MAY_HAVE_RUN : verdictOfCurrent();
        RequestFailure reported =
                recorder.withCombinedVerdict(
                        RequestFailure.of(
                                known,
                                ErrorCode.TIMEOUT,
                                "the timeout of the request class expired"));
        endForCaller(reported, () -> recorder.recordFailed(reported));
    }

    private void fail(RequestFailure failure) {
        endCurrent();
        RequestFailure reported = recorder.withCombinedVerdict(failure);
        answer.fail(reported);
        if (detached) {
            recordAtEnd.run();
        } else {
            recorder.recordFailed(reported);
        }
        finish();
    }

    private void finish() {
        done = true;
        deadline.cancel();
        waiter.ifPresent(context.waitQueue()::remove);
        outcomePoller.ifPresent(OutcomePoller::cancel);
        endCurrent();
        onDone.run();
    }

    private void endCurrent() {
        current.ifPresent(Attempt::cancel);
        current = Optional.empty();
    }

    /** Returns the label of the request, which is unique across all entries. */
    String label() {
        return context.requestLabel(arrival);
    }

    private boolean isCurrent(Attempt attempt) {
        return !done && current.filter(open -> open == attempt).isPresent();
    }
}
