package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.entry.EntryMetrics.MetricLabels;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
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
 * <p>An idempotent call is dispatched in one message and may be retried whatever became of it. Any
 * other call is offered first and ordered upon the grant; it is retried only when it was proved not
 * to have run, and after a lost connection the sidecar is asked for the outcome. Once it was
 * ordered it goes on to its end, also when its caller has gone or was told that its deadline
 * passed. Confined to its serial executor.
 */
final class CallFlow implements AttemptListener {

    private static final long OFFER_TIMEOUT_MILLIS = 1_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** How much longer than its timeout a run is waited for that nobody takes the answer of. */
    private static final long OUTCOME_GRACE_MILLIS = 5_000;

    /** Another server, or the same one a moment later, may well take what was refused so. */
    private static final Set<ErrorCode> FREE_REFUSALS =
            Set.of(ErrorCode.OVERLOADED, ErrorCode.VERSION_CONFLICT, ErrorCode.DRAINING);

    private static final RequestFailure CALLER_GONE =
            RequestFailure.notRun(ErrorCode.CANCELLED, "the caller closed the connection");

    private final EntryContext context;
    private ResolvedCall task;
    private final SerialExecutor serial;
    private final long arrival;
    private final long startMillis;
    private final RequestOutcomeRecorder journal;
    private Router router;
    private final Set<String> excluded = new HashSet<>();
    private CallAnswerWriter answer;
    private Runnable onDone = () -> {};
    private Optional<Attempt> current = Optional.empty();
    private Optional<OutcomePoller> inquiry = Optional.empty();
    private Optional<WaitQueue.Waiter> waiter = Optional.empty();
    private TimerService.Subscription deadline = () -> {};
    private int attempts;
    private Runnable noteAtEnd = () -> {};
    private boolean detached;
    private boolean done;

    CallFlow(EntryContext context, ResolvedCall task, long arrival) {
        this.context = context;
        this.task = task;
        this.serial = new SerialExecutor(context.pool());
        this.arrival = arrival;
        this.startMillis = context.timer().nowMillis();
        MetricLabels label = new MetricLabels(task.deployment().name(), task.requestClass().name());
        this.journal = context.newJournal(label, arrival, task.route().repeatable());
        this.router = context.routers().router(task.policy(), task.pool());
    }

    /** Begins to serve; the runnable is called once when nothing of the request is left. */
    void start(CallAnswerWriter callAnswer, Runnable whenDone) {
        open(callAnswer, whenDone, this::begin);
    }

    /** Ends a call that must not begin; the runnable is called once. */
    void refuse(CallAnswerWriter callAnswer, RequestFailure failure, Runnable whenDone) {
        open(callAnswer, whenDone, () -> fail(failure));
    }

    /** Answers with what a call with the same key was answered; the runnable is called once. */
    void replay(CallAnswerWriter callAnswer, Message.StoredAnswer stored, Runnable whenDone) {
        open(callAnswer, whenDone, () -> answerWith(stored));
    }

    private void open(CallAnswerWriter callAnswer, Runnable whenDone, Runnable next) {
        serial.executeOrEnqueue(
                () -> {
                    answer = callAnswer;
                    onDone = whenDone;
                    if (done) {
                        answer.fail(CALLER_GONE);
                        onDone.run();
                    } else {
                        next.run();
                    }
                });
    }

    /** The caller went away; a call that was ordered goes on to its end at the sidecar. */
    void callerGone() {
        serial.execute(
                () -> {
                    if (!done && !detached) {
                        leave(CALLER_GONE, journal::callerGone);
                    }
                });
    }

    private void begin() {
        context.retryBudgets()
                .of(task.deployment().name())
                .addRequest(task.policy().retryBudgetPercent());
        long leftMillis = Math.max(0, task.requestClass().timeoutMillis() - elapsedMillis());
        deadline = context.timer().once(leftMillis, () -> serial.execute(this::deadlinePassed));
        place();
    }

    private long elapsedMillis() {
        return context.timer().nowMillis() - startMillis;
    }

    /** Ends the call for its caller; a run that was ordered is followed to its end. */
    private void leave(RequestFailure failure, Runnable note) {
        if (!isOrdered()) {
            endCurrent();
            if (answer != null) {
                answer.fail(failure);
            }
            note.run();
            finish();
            return;
        }
        answer.tell(failure.withVerdict(Verdict.MAY_HAVE_RUN));
        detached = true;
        noteAtEnd = note;
        deadline.cancel();
        long limitMillis = task.requestClass().timeoutMillis() + OUTCOME_GRACE_MILLIS;
        deadline = context.timer().once(limitMillis, () -> serial.execute(this::outcomeMissing));
    }

    private boolean isOrdered() {
        boolean ordered = inquiry.isPresent() || verdictOfCurrent() != Verdict.NOT_RUN;
        return ordered && !task.route().repeatable();
    }

    private Verdict verdictOfCurrent() {
        return current.map(Attempt::verdict).orElse(Verdict.NOT_RUN);
    }

    private void outcomeMissing() {
        if (!done) {
            fail(
                    RequestFailure.of(
                            Verdict.MAY_HAVE_RUN,
                            ErrorCode.OUTCOME_UNKNOWN,
                            "the outcome of the run did not come"));
        }
    }

    private void place() {
        if (done) {
            return;
        }
        waiter = Optional.empty();
        Either<RequestFailure, ResolvedCall> renewed = task.under(context.manifests().inForce());
        if (renewed.isLeft()) {
            fail(renewed.getLeft());
            return;
        }
        task = renewed.get();
        router = context.routers().router(task.policy(), task.pool());
        offer();
    }

    private void offer() {
        Optional<SidecarConnection> link = choose();
        if (link.isEmpty()) {
            waitForRoom();
            return;
        }
        Attempt attempt =
                new Attempt(
                        context.nextAttempt(attempts), link.get(), serial, context.timer(), this);
        current = Optional.of(attempt);
        Message.Offer offer =
                new Message.Offer(
                        attempt.id(),
                        WorkKind.CALL,
                        task.deployment().name(),
                        task.inForce().version(),
                        0,
                        0,
                        task.requestClass().priority(),
                        0);
        if (task.route().repeatable()) {
            serial.execute(() -> attempt.dispatch(offer, task.work()));
        } else {
            serial.execute(() -> attempt.offer(offer, OFFER_TIMEOUT_MILLIS));
        }
    }

    private Optional<SidecarConnection> choose() {
        Demand demand = new Demand(context.zone(), 0, 0, 0, Map.of(), excluded);
        return router.choose(context.fleet().views(task.servers()), demand)
                .map(ServerView::name)
                .flatMap(context.fleet()::link);
    }

    @Override
    public void onEnded(AttemptRecord ended) {
        journal.attemptEnded(ended);
    }

    @Override
    public void onGranted(Attempt attempt) {
        if (!isCurrent(attempt)) {
            return;
        }
        // An entry that stood still may take the grant before its timer; it is too late then.
        if (elapsedMillis() > task.requestClass().timeoutMillis()) {
            deadlinePassed();
        } else {
            attempt.commit(task.work());
        }
    }

    @Override
    public void onHead(Attempt attempt, Message.AnswerHead head) {
        if (isCurrent(attempt)) {
            answer.head(head.status(), head.headers());
        }
    }

    @Override
    public void onPart(Attempt attempt, Message.AnswerPart part) {
        if (isCurrent(attempt)) {
            answer.part(part.content());
        }
    }

    @Override
    public void onWhole(Attempt attempt, Message.AnswerEnd end) {
        if (isCurrent(attempt)) {
            answered();
        }
    }

    private void answered() {
        current = Optional.empty();
        answer.end();
        if (detached) {
            noteAtEnd.run();
        } else {
            long tookMillis = elapsedMillis();
            boolean met = tookMillis <= task.requestClass().timeToFirstTokenMillis();
            journal.answered(met, tookMillis, 0);
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
        if (unknown && !task.route().repeatable() && !answer.isStarted()) {
            ask(attempt, failure);
        } else {
            settle(attempt, failure);
        }
    }

    private void ask(Attempt attempt, RequestFailure failure) {
        OutcomePoller next =
                new OutcomePoller(
                        attempt,
                        serial,
                        context.timer(),
                        outcome -> outcomeKnown(attempt, failure, outcome));
        inquiry = Optional.of(next);
        next.start();
    }

    private void outcomeKnown(Attempt attempt, RequestFailure failure, Message.Outcome outcome) {
        inquiry = Optional.empty();
        journal.settled(attempt, outcome.verdict());
        if (done) {
            return;
        }
        if (outcome.verdict() == Verdict.RAN && outcome.answer().isPresent()) {
            answerWith(outcome.answer().get());
        } else {
            settle(attempt, failure.withVerdict(outcome.verdict()));
        }
    }

    private void answerWith(Message.StoredAnswer stored) {
        answer.head(stored.status(), stored.headers());
        answer.part(stored.body());
        answered();
    }

    private void settle(Attempt attempt, RequestFailure failure) {
        boolean mayRetry = failure.verdict() == Verdict.NOT_RUN || task.route().repeatable();
        if (!mayRetry || detached || answer.isStarted()) {
            fail(failure);
            return;
        }
        excluded.add(attempt.link().serverName());
        boolean refused = FREE_REFUSALS.contains(failure.code());
        attempts += refused ? 0 : 1;
        boolean affordable =
                refused || context.retryBudgets().of(task.deployment().name()).tryRetry();
        if (attempts >= task.policy().maximumAttempts() || !affordable) {
            fail(failure);
            return;
        }
        journal.retried(attempt.link().serverName(), failure);
        place();
    }

    private void waitForRoom() {
        excluded.clear();
        if (context.waitQueue().size() >= task.policy().queueLimit()) {
            fail(
                    RequestFailure.notRun(ErrorCode.OVERLOADED, "the queue is full")
                            .retryAfter(RETRY_AFTER_MILLIS));
            return;
        }
        WaitQueue.Waiter next =
                new WaitQueue.Waiter(
                        task.pool().name(), ticket(), () -> serial.execute(this::place));
        waiter = Optional.of(next);
        context.waitQueue().add(next, RoutingStrategies.queueOrder(task.policy()));
    }

    private QueuedRequest ticket() {
        RequestClass requestClass = task.requestClass();
        return new QueuedRequest(
                arrival,
                requestClass.priority(),
                requestClass.patient(),
                false,
                startMillis + requestClass.timeToFirstTokenMillis(),
                startMillis + requestClass.timeoutMillis() / 2);
    }

    private void deadlinePassed() {
        if (done) {
            return;
        }
        Verdict known = inquiry.isPresent() ? Verdict.MAY_HAVE_RUN : verdictOfCurrent();
        RequestFailure told =
                journal.told(
                        RequestFailure.of(
                                known,
                                ErrorCode.TIMEOUT,
                                "the timeout of the request class passed"));
        leave(told, () -> journal.failed(told));
    }

    private void fail(RequestFailure failure) {
        endCurrent();
        RequestFailure told = journal.told(failure);
        answer.fail(told);
        if (detached) {
            noteAtEnd.run();
        } else {
            journal.failed(told);
        }
        finish();
    }

    private void finish() {
        done = true;
        deadline.cancel();
        waiter.ifPresent(context.waitQueue()::remove);
        inquiry.ifPresent(OutcomePoller::cancel);
        endCurrent();
        onDone.run();
    }

    private void endCurrent() {
        current.ifPresent(Attempt::cancel);
        current = Optional.empty();
    }

    /** Returns the name of the request, which no other request of any entry bears. */
    String name() {
        return context.requestLabel(arrival);
    }

    private boolean isCurrent(Attempt attempt) {
        return !done && current.filter(open -> open == attempt).isPresent();
    }
}
