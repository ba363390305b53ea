package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.entry.EntryMetrics.MetricLabels;
import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.record.AttemptRecord;
import dev.foxtailshed.kernel.retry.Backoff;
import dev.foxtailshed.kernel.routing.ReservationState;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.WorkKind;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/**
 * Serves one request to a model: gets a place in both pools, has the prompt read, hands the KV
 * cache over and streams the answer back.
 *
 * <p>The policy's {@link PlacementOrder} says which place comes first. When a decode server is
 * lost, the answer goes on at another from the last token that the caller got. Confined to its
 * serial executor.
 */
final class ModelFlow implements AttemptListener {

    private static final long OFFER_TIMEOUT_MILLIS = 1_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long EXPORT_WAIT_MILLIS = 800;
    private static final long PREFILL_WAIT_MILLIS = 300;
    private static final Backoff BACKOFF = new Backoff(20, 2_000);
    private static final int RETRY_WITHOUT_BUDGET = 7;

    private final EntryContext context;
    private ResolvedModelRequest task;
    private final SerialExecutor serial;
    private final long arrival;
    private final long startMillis;
    private final LatencyTracker pace;
    private final MetricLabels label;
    private final RequestOutcomeRecorder journal;
    private final SuspectTracker suspicion;
    private final PromptPrefix prefix;
    private ModelPlacement placement;
    private ModelResourceEstimate needs;
    private final Set<String> excluded = new HashSet<>();
    private ModelAnswerWriter answer;
    private Runnable onDone = () -> {};
    private final PoolReservation decode = new PoolReservation();
    private final PoolReservation prefill = new PoolReservation();
    private Optional<KvCacheTransfer> handover = Optional.empty();
    private Optional<Message.Prefilled> read = Optional.empty();
    private Optional<WaitQueue.Waiter> waiter = Optional.empty();
    private Optional<RequestFailure> lastFailure = Optional.empty();
    private TimerService.Subscription deadline = () -> {};
    private TimerService.Subscription queueLimit = () -> {};
    private TimerService.Subscription exportLimit = () -> {};
    private long placedMillis;
    private int attempts;
    private long unusedPrefillTokens;
    private boolean done;

    ModelFlow(EntryContext context, ResolvedModelRequest task, long arrival) {
        this.context = context;
        this.task = task;
        this.serial = new SerialExecutor(context.pool());
        this.arrival = arrival;
        this.startMillis = context.timer().nowMillis();
        this.pace = new LatencyTracker(startMillis, task.requestClass());
        this.label = new MetricLabels(task.deployment().name(), task.requestClass().name());
        this.journal = context.newJournal(label, arrival, true);
        this.suspicion = context.newSuspicion(task.deployment().name(), task.request().prompt());
        this.prefix = new PromptPrefix(context.prefixHints(), task);
        this.placement = new ModelPlacement(context, task, prefix);
        this.needs = new ModelResourceEstimate(task, context.serviceTimes(), arrival, startMillis);
    }

    /** Begins to serve; the runnable is called once when nothing of the request is left. */
    void start(CallerStream callerStream, Runnable whenDone) {
        serial.executeOrEnqueue(
                () -> {
                    answer = new ModelAnswerWriter(callerStream, task.format(), pace);
                    onDone = whenDone;
                    begin();
                });
    }

    /** The caller went away: everything that the request holds is freed. */
    void callerGone() {
        serial.execute(
                () -> {
                    if (!done) {
                        releaseAll("caller-gone");
                        journal.callerGone();
                        finish("caller-gone");
                    }
                });
    }

    private void begin() {
        if (done) {
            onDone.run();
            return;
        }
        context.retryBudgets()
                .of(label.deployment())
                .addRequest(task.policy().retryBudgetPercent());
        TimerService timer = context.timer();
        long timeoutMillis = task.requestClass().timeoutMillis();
        deadline = timer.once(timeoutMillis, () -> serial.execute(this::deadlinePassed));
        if (!task.requestClass().patient()) {
            long limitMillis = Math.max(0, needs.startByMillis() - startMillis);
            queueLimit = timer.once(limitMillis, () -> serial.execute(this::queuedTooLong));
        }
        if (context.waitQueue().isEmpty(needs.lane())) {
            place();
        } else {
            joinQueue();
        }
    }

    /** A request that arrives while others wait goes behind those that have precedence. */
    private void joinQueue() {
        OptionalLong waitMillis =
                context.waitQueue().predictedWaitMillis(needs.lane(), needs.ticket(false));
        long startMillisPredicted = context.timer().nowMillis() + waitMillis.orElse(0);
        boolean sheds =
                RoutingStrategies.shedsEarly(task.policy()) && !task.requestClass().patient();
        if (sheds && startMillisPredicted > needs.startByMillis()) {
            fail(
                    RequestFailure.notRun(
                                    ErrorCode.OVERLOADED, "the target could not be met any more")
                            .retryAfter(waitMillis.orElse(RETRY_AFTER_MILLIS)));
        } else {
            waitForRoom();
        }
    }

    /** Does what the placement order asks for next. */
    private void place() {
        if (done) {
            return;
        }
        waiter = Optional.empty();
        switch (placement.order().next(decode.state(), prefill.state())) {
            case RESERVE_DECODE -> reserve(decode, WorkKind.DECODE);
            case RESERVE_PREFILL -> reserve(prefill, WorkKind.PREFILL);
            case START_PREFILL -> orderPrefill();
            case START_DECODE -> read.ifPresent(this::orderDecode);
            default -> {
                // A message of a sidecar brings the next step.
            }
        }
    }

    private void reserve(PoolReservation hold, WorkKind kind) {
        Optional<RequestFailure> refusal = suspicion.refusal();
        if (refusal.isPresent()) {
            fail(refusal.get());
            return;
        }
        Either<RequestFailure, ResolvedModelRequest> renewed =
                task.under(context.manifests().inForce());
        if (renewed.isLeft()) {
            fail(renewed.getLeft());
            return;
        }
        task = renewed.get();
        placement = new ModelPlacement(context, task, prefix);
        needs = new ModelResourceEstimate(task, context.serviceTimes(), arrival, startMillis);
        if (kind == WorkKind.PREFILL && lapsesBeforeUse()) {
            decode.release();
            place();
            return;
        }
        Optional<SidecarConnection> link = choose(kind);
        boolean together =
                kind == WorkKind.DECODE && placement.order().requiresCapacityInBothPools();
        if (link.isEmpty()
                || together && choose(WorkKind.PREFILL).isEmpty()
                || !suspicion.begin(link.get().serverName())) {
            waitForRoom();
            return;
        }
        Attempt offered = offer(link.get(), kind, needs.pieces(kind, answer.tokens()));
        hold.offered(offered, kind == WorkKind.DECODE ? needs.transferBytes() : 0);
    }

    private Optional<SidecarConnection> choose(WorkKind kind) {
        return placement.choose(
                kind,
                needs.pieces(kind, answer.tokens()),
                needs.transferBytes(),
                suspicion.excluded(excluded));
    }

    /** A decode place that lapses while the prompt is read would waste the reading. */
    private boolean lapsesBeforeUse() {
        long neededMillis = context.timer().nowMillis() + needs.firstTokenMillis();
        return decode.state() == ReservationState.GRANTED
                && decode.attempt().filter(place -> !place.isGrantedAt(neededMillis)).isPresent();
    }

    private Attempt offer(SidecarConnection link, WorkKind kind, int pieces) {
        Attempt attempt =
                new Attempt(context.nextAttempt(attempts), link, serial, context.timer(), this);
        long neededInMillis =
                kind == WorkKind.DECODE ? needs.firstTokenMillis() + PREFILL_WAIT_MILLIS : 0;
        Message.Offer offer =
                new Message.Offer(
                        attempt.id(),
                        kind,
                        task.deployment().name(),
                        task.inForce().version(),
                        pieces,
                        kind == WorkKind.PREFILL
                                ? placement.uncachedPromptTokens(link)
                                : task.promptTokens(),
                        task.requestClass().priority(),
                        neededInMillis);
        // Deferred, so that the field is set before a refusal can arrive.
        serial.execute(() -> attempt.offer(offer, OFFER_TIMEOUT_MILLIS));
        return attempt;
    }

    @Override
    public void onEnded(AttemptRecord ended) {
        journal.attemptEnded(ended);
    }

    @Override
    public void onGranted(Attempt attempt) {
        if (done) {
            return;
        }
        holdOf(attempt).ifPresent(hold -> hold.move(ReservationState.GRANTED));
        if (decode.isOf(attempt)) {
            placedMillis = context.timer().nowMillis();
            context.waitQueue().started(needs.lane());
        }
        place();
    }

    private void orderPrefill() {
        prefill.move(ReservationState.RUNNING);
        Message.PrefillWork work = ModelMessages.prefill(task, answer.text(), remainingMillis());
        prefill.attempt().ifPresent(attempt -> attempt.commit(work));
    }

    @Override
    public void onPrefilled(Attempt attempt, Message.Prefilled prefilled) {
        if (done || !prefill.isOf(attempt)) {
            return;
        }
        unusedPrefillTokens = prefilled.promptTokens() - prefilled.cachedTokens();
        context.metrics().prefilled(label, unusedPrefillTokens);
        if (!answer.isBegun()) {
            answer.promptRead(prefilled.promptTokens(), prefilled.cachedTokens());
            prefix.learn(attempt.link().serverName(), prefilled);
            context.tokenEstimates()
                    .observe(label.deployment(), task.request().prompt(), prefilled.promptTokens());
        }
        prefill.move(ReservationState.PREFILLED);
        suspicion.end(attempt.link().serverName());
        read = Optional.of(prefilled);
        exportLimit =
                context.timer()
                        .once(
                                EXPORT_WAIT_MILLIS,
                                () -> serial.execute(() -> exportExpired(attempt)));
        place();
    }

    /** The KV cache of a prompt is evicted soon after the reading; without it, all begins anew. */
    private void exportExpired(Attempt attempt) {
        boolean waits = decode.state() != ReservationState.RUNNING;
        if (!done && waits && prefill.isOf(attempt)) {
            waiter.ifPresent(context.waitQueue()::remove);
            wastePrefill("no-decode-place");
            prefill.release();
            place();
        }
    }

    private void orderDecode(Message.Prefilled prefilled) {
        handover =
                decode.attempt()
                        .map(
                                place ->
                                        KvCacheTransfer.begin(
                                                place.link(),
                                                task,
                                                prefilled,
                                                context.timer().nowMillis()));
        decode.move(ReservationState.RUNNING);
        suspicion.runBegins();
        Message.DecodeWork work =
                ModelMessages.decode(
                        task, answer.text(), answer.tokens(), remainingMillis(), prefilled);
        decode.attempt().ifPresent(attempt -> attempt.commit(work));
    }

    @Override
    public void onPart(Attempt attempt, Message.AnswerPart part) {
        if (!decode.isOf(attempt)) {
            return;
        }
        if (!answer.isBegun()) {
            queueLimit.cancel();
            needs.learnFirstToken(context.timer().nowMillis() - placedMillis);
        }
        endHandover();
        unusedPrefillTokens = 0;
        prefill.release();
        suspicion.wrote(part.tokens(), attempt.link().serverName());
        answer.part(part.content(), part.tokens(), context.timer().nowMillis());
    }

    private void endHandover() {
        handover.ifPresent(open -> open.ended(context.timer().nowMillis()));
        handover = Optional.empty();
    }

    @Override
    public void onWhole(Attempt attempt, Message.AnswerEnd end) {
        if (!decode.isOf(attempt)) {
            return;
        }
        answer.end(end.finishReason());
        unusedPrefillTokens = 0;
        suspicion.answered();
        journal.answered(pace.targetsMet(), pace.firstTokenMillis(), answer.tokens());
        finish("none");
    }

    @Override
    public void onFailed(Attempt attempt, RequestFailure failure) {
        Optional<PoolReservation> hold = holdOf(attempt);
        if (done || hold.isEmpty()) {
            return;
        }
        lastFailure = Optional.of(failure);
        if (failure.code() == ErrorCode.BACKEND_CRASHED) {
            suspicion.crashed(attempt);
        }
        suspicion.end(attempt.link().serverName());
        if (failure.code() == ErrorCode.INVALID_REQUEST) {
            fail(failure);
        } else if (failure.verdict() == Verdict.NOT_RUN && !isExportGone(hold.get(), failure)) {
            // A refused offer costs nothing: another server, or a place in the queue.
            hold.get().clear();
            excluded.add(attempt.link().serverName());
            place();
        } else {
            if (isExportGone(hold.get(), failure)) {
                // A KV cache that came too late tells as much of the link as one that came.
                endHandover();
            }
            releaseAll(failure.code().label());
            retryAfterRun(attempt, failure);
        }
    }

    /** An engine that takes over too late finds no KV cache and must not be asked again. */
    private boolean isExportGone(PoolReservation hold, RequestFailure failure) {
        return hold == decode
                && hold.state() == ReservationState.RUNNING
                && failure.code() == ErrorCode.BACKEND_ERROR;
    }

    private void retryAfterRun(Attempt attempt, RequestFailure failure) {
        attempts++;
        boolean affordable = context.retryBudgets().of(label.deployment()).tryRetry();
        boolean waits = task.requestClass().patient() || answer.isBegun();
        if (attempts >= task.policy().maximumAttempts() || !affordable && !waits) {
            fail(failure);
            return;
        }
        journal.retried(attempt.link().serverName(), failure);
        excluded.add(attempt.link().serverName());
        // Without budget, work that must not be lost comes back late rather than not at all.
        int retry = affordable ? attempts - 1 : RETRY_WITHOUT_BUDGET;
        long delayMillis = BACKOFF.delayMillis(retry, ThreadLocalRandom.current().nextDouble());
        context.timer().once(delayMillis, () -> serial.execute(this::place));
    }

    private void waitForRoom() {
        excluded.clear();
        WaitQueue.Waiter next =
                new WaitQueue.Waiter(
                        needs.lane(),
                        needs.ticket(holdsReservation()),
                        () -> serial.execute(this::place));
        waiter = Optional.of(next);
        if (context.waitQueue().size() >= task.policy().queueLimit() && !answer.isBegun()) {
            fail(overloaded("the queue is full"));
            return;
        }
        context.waitQueue().add(next, RoutingStrategies.queueOrder(task.policy()));
    }

    private boolean holdsReservation() {
        return decode.state() != ReservationState.NONE || prefill.state() != ReservationState.NONE;
    }

    private void queuedTooLong() {
        if (!done && waiter.isPresent() && !answer.isBegun()) {
            fail(overloaded("no backend server had room in time"));
        }
    }

    private void deadlinePassed() {
        if (!done) {
            String last = lastFailure.map(RequestFailure::message).orElse("no failure before");
            fail(
                    RequestFailure.notRun(
                            ErrorCode.TIMEOUT, "the class's timeout passed; last: " + last));
        }
    }

    private RequestFailure overloaded(String message) {
        return RequestFailure.notRun(ErrorCode.OVERLOADED, message).retryAfter(RETRY_AFTER_MILLIS);
    }

    private void fail(RequestFailure failure) {
        releaseAll(failure.code().label());
        RequestFailure told = journal.told(failure);
        answer.fail(told);
        journal.failed(told);
        finish(told.code().label());
    }

    private void finish(String wasteCause) {
        done = true;
        deadline.cancel();
        queueLimit.cancel();
        waiter.ifPresent(context.waitQueue()::remove);
        releaseAll(wasteCause);
        onDone.run();
    }

    private void releaseAll(String wasteCause) {
        wastePrefill(wasteCause);
        exportLimit.cancel();
        prefill.release();
        decode.release();
        suspicion.endAll();
    }

    private void wastePrefill(String cause) {
        if (unusedPrefillTokens > 0) {
            context.metrics().wastedPrefill(label, cause, unusedPrefillTokens);
            unusedPrefillTokens = 0;
        }
    }

    private long remainingMillis() {
        long endMillis = startMillis + task.requestClass().timeoutMillis();
        return Math.max(1, endMillis - context.timer().nowMillis());
    }

    private Optional<PoolReservation> holdOf(Attempt attempt) {
        return Stream.of(decode, prefill).filter(hold -> hold.isOf(attempt)).findFirst();
    }
}
