package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.entry.EntryMetrics.MetricLabels;
import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.daemon.internal.serial.SerialTimer;
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
 * Serves one request to a model: reserves capacity in both pools, runs prefill, transfers the KV
 * cache to the decode server and streams the answer back.
 *
 * <p>The policy's {@link PlacementOrder} determines which reservation comes first. When a decode
 * server is lost, another one continues the answer after the last token that was sent to the
 * caller. Confined to its serial executor.
 */
final class ModelFlow implements AttemptListener {

    private static final long OFFER_TIMEOUT_MILLIS = 1_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long EXPORT_TIMEOUT_MILLIS = 800;
    private static final long PREFILL_WAIT_ALLOWANCE_MILLIS = 300;
    private static final Backoff BACKOFF = new Backoff(20, 2_000);
    private static final int RETRY_NUMBER_WITHOUT_BUDGET = 7;

    private final EntryContext context;
    private ResolvedModelRequest request;
    private final SerialExecutor serial;
    private final SerialTimer timer;
    private final long arrival;
    private final long startMillis;
    private final LatencyTracker latency;
    private final MetricLabels labels;
    private final RequestOutcomeRecorder recorder;
    private final SuspectTracker suspectTracker;
    private final PromptPrefix prefix;
    private ModelPlacement placement;
    private ModelResourceEstimate estimate;
    private final Set<String> excluded = new HashSet<>();
    private ModelAnswerWriter answer;
    private Runnable onDone = () -> {};
    private final PoolReservation decode = new PoolReservation();
    private final PoolReservation prefill = new PoolReservation();
    private Optional<KvCacheTransfer> transfer = Optional.empty();
    private Optional<Message.Prefilled> prefillResult = Optional.empty();
    private Optional<WaitQueue.Waiter> waiter = Optional.empty();
    private Optional<RequestFailure> lastFailure = Optional.empty();
    private TimerService.Subscription deadline = () -> {};
    private TimerService.Subscription queueTimeout = () -> {};
    private TimerService.Subscription exportTimeout = () -> {};
    private long decodeGrantedMillis;
    private int attempts;
    private long unusedPrefillTokens;
    private boolean done;

    ModelFlow(EntryContext context, ResolvedModelRequest request, long arrival) {
        this.context = context;
        this.request = request;
        this.serial = new SerialExecutor(context.executor());
        this.timer = new SerialTimer(context.timer(), serial);
        this.arrival = arrival;
        this.startMillis = context.timer().nowMillis();
        this.latency = new LatencyTracker(startMillis, request.requestClass());
        this.labels = new MetricLabels(request.deployment().name(), request.requestClass().name());
        this.recorder = context.newOutcomeRecorder(labels, arrival, true);
        this.suspectTracker =
                context.newSuspectTracker(
                        request.deployment().name(), request.completion().prompt());
        this.prefix = new PromptPrefix(context.prefixHints(), request);
        this.placement = new ModelPlacement(context, request, prefix);
        this.estimate =
                new ModelResourceEstimate(request, context.serviceTimes(), arrival, startMillis);
    }

    /** Starts the request; {@code whenDone} runs once, when it has ended completely. */
    void start(CallerStream callerStream, Runnable whenDone) {
        serial.executeOrEnqueue(
                () -> {
                    answer = new ModelAnswerWriter(callerStream, request.format(), latency);
                    onDone = whenDone;
                    begin();
                });
    }

    /** Handles a disconnected caller: releases everything that the request holds. */
    void onCallerDisconnected() {
        serial.execute(
                () -> {
                    if (!done) {
                        releaseAll("caller-gone");
                        recorder.recordCallerDisconnected();
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
                .forDeployment(labels.deployment())
                .addRequest(request.policy().retryBudgetPercent());
        long timeoutMillis = request.requestClass().timeoutMillis();
        deadline = timer.once(timeoutMillis, this::onDeadline);
        if (!request.requestClass().patient()) {
            long limitMillis = Math.max(0, estimate.startByMillis() - startMillis);
            queueTimeout = timer.once(limitMillis, this::onQueueTimeout);
        }
        if (context.waitQueue().isEmpty(estimate.lane())) {
            advance();
        } else {
            enqueueOrRefuse();
        }
    }

    /** Queues the request behind those that wait, or refuses it if it would miss its target. */
    private void enqueueOrRefuse() {
        OptionalLong waitMillis =
                context.waitQueue()
                        .predictedWaitMillis(estimate.lane(), estimate.queuedRequest(false));
        long predictedStartMillis = context.timer().nowMillis() + waitMillis.orElse(0);
        boolean sheds =
                RoutingStrategies.shedsEarly(request.policy()) && !request.requestClass().patient();
        if (sheds && predictedStartMillis > estimate.startByMillis()) {
            fail(
                    RequestFailure.notRun(
                                    ErrorCode.OVERLOADED, "the latency target can no longer be met")
                            .retryAfter(waitMillis.orElse(RETRY_AFTER_MILLIS)));
        } else {
            enqueue();
        }
    }

    /** Performs the next step of the placement order. */
    private void advance() {
        if (done) {
            return;
        }
        waiter = Optional.empty();
        switch (placement.placementOrder().next(decode.state(), prefill.state())) {
            case RESERVE_DECODE -> reserve(decode, WorkKind.DECODE);
            case RESERVE_PREFILL -> reserve(prefill, WorkKind.PREFILL);
            case START_PREFILL -> commitPrefill();
            case START_DECODE -> prefillResult.ifPresent(this::commitDecode);
            default -> {
                // The next message from a sidecar triggers the next step.
            }
        }
    }

    private void reserve(PoolReservation reservation, WorkKind kind) {
        Optional<RequestFailure> refusal = suspectTracker.refusal();
        if (refusal.isPresent()) {
            fail(refusal.get());
            return;
        }
        Either<RequestFailure, ResolvedModelRequest> resolvedAgain =
                request.resolveAgain(context.manifests().inForce());
        if (resolvedAgain.isLeft()) {
            fail(resolvedAgain.getLeft());
            return;
        }
        request = resolvedAgain.get();
        placement = new ModelPlacement(context, request, prefix);
        estimate = new ModelResourceEstimate(request, context.serviceTimes(), arrival, startMillis);
        if (kind == WorkKind.PREFILL && decodeExpiresDuringPrefill()) {
            decode.release();
            advance();
            return;
        }
        Optional<SidecarConnection> connection = choose(kind);
        boolean needsBoth =
                kind == WorkKind.DECODE && placement.placementOrder().requiresCapacityInBothPools();
        if (connection.isEmpty()
                || needsBoth && choose(WorkKind.PREFILL).isEmpty()
                || !suspectTracker.isolate(connection.get().serverName())) {
            enqueue();
            return;
        }
        Attempt offered = offer(connection.get(), kind, estimate.pieces(kind, answer.tokens()));
        reservation.startOffer(offered, kind == WorkKind.DECODE ? estimate.transferBytes() : 0);
    }

    private Optional<SidecarConnection> choose(WorkKind kind) {
        return placement.choose(
                kind,
                estimate.pieces(kind, answer.tokens()),
                estimate.transferBytes(),
                suspectTracker.excluded(excluded));
    }

    /**
     * Returns whether the decode reservation would expire during prefill, which would waste the
     * prefill.
     */
    private boolean decodeExpiresDuringPrefill() {
        long neededMillis = context.timer().nowMillis() + estimate.firstTokenMillis();
        return decode.state() == ReservationState.GRANTED
                && decode.attempt()
                        .filter(decodeAttempt -> !decodeAttempt.isGrantedAt(neededMillis))
                        .isPresent();
    }

    private Attempt offer(SidecarConnection connection, WorkKind kind, int pieces) {
        Attempt attempt =
                new Attempt(
                        context.nextAttemptId(attempts), connection, serial, context.timer(), this);
        long neededInMillis =
                kind == WorkKind.DECODE
                        ? estimate.firstTokenMillis() + PREFILL_WAIT_ALLOWANCE_MILLIS
                        : 0;
        Message.Offer offer =
                new Message.Offer(
                        attempt.id(),
                        kind,
                        request.deployment().name(),
                        request.inForce().version(),
                        pieces,
                        kind == WorkKind.PREFILL
                                ? placement.uncachedPromptTokens(connection)
                                : request.promptTokens(),
                        request.requestClass().priority(),
                        neededInMillis);
        // Deferred, so that the reservation's attempt is set before a refusal can arrive.
        serial.execute(() -> attempt.offer(offer, OFFER_TIMEOUT_MILLIS));
        return attempt;
    }

    @Override
    public void onEnded(AttemptRecord ended) {
        recorder.addAttempt(ended);
    }

    @Override
    public void onGranted(Attempt attempt) {
        if (done) {
            return;
        }
        reservationOf(attempt)
                .ifPresent(reservation -> reservation.setState(ReservationState.GRANTED));
        if (decode.isOf(attempt)) {
            decodeGrantedMillis = context.timer().nowMillis();
            context.waitQueue().recordStart(estimate.lane());
        }
        advance();
    }

    private void commitPrefill() {
        prefill.setState(ReservationState.RUNNING);
        Message.PrefillWork work = ModelMessages.prefill(request, answer.text(), remainingMillis());
        prefill.attempt().ifPresent(attempt -> attempt.commit(work));
    }

    @Override
    public void onPrefilled(Attempt attempt, Message.Prefilled prefilled) {
        if (done || !prefill.isOf(attempt)) {
            return;
        }
        unusedPrefillTokens = prefilled.promptTokens() - prefilled.cachedTokens();
        context.metrics().countPrefill(labels, unusedPrefillTokens);
        if (!answer.hasTokens()) {
            answer.setPromptUsage(prefilled.promptTokens(), prefilled.cachedTokens());
            prefix.recordPrefill(attempt.connection().serverName(), prefilled);
            context.tokenEstimators()
                    .observe(
                            labels.deployment(),
                            request.completion().prompt(),
                            prefilled.promptTokens());
        }
        prefill.setState(ReservationState.PREFILLED);
        suspectTracker.endIsolation(attempt.connection().serverName());
        prefillResult = Optional.of(prefilled);
        exportTimeout = timer.once(EXPORT_TIMEOUT_MILLIS, () -> onExportTimeout(attempt));
        advance();
    }

    /**
     * Releases the prefill reservation and starts again, since the KV cache is evicted soon after
     * prefill and decode cannot start without it.
     */
    private void onExportTimeout(Attempt attempt) {
        boolean decodePending = decode.state() != ReservationState.RUNNING;
        if (!done && decodePending && prefill.isOf(attempt)) {
            waiter.ifPresent(context.waitQueue()::remove);
            recordWastedPrefill("no-decode-place");
            prefill.release();
            advance();
        }
    }

    private void commitDecode(Message.Prefilled prefilled) {
        transfer =
                decode.attempt()
                        .map(
                                decodeAttempt ->
                                        KvCacheTransfer.begin(
                                                decodeAttempt.connection(),
                                                request,
                                                prefilled,
                                                context.timer().nowMillis()));
        decode.setState(ReservationState.RUNNING);
        suspectTracker.onRunStarted();
        Message.DecodeWork work =
                ModelMessages.decode(
                        request, answer.text(), answer.tokens(), remainingMillis(), prefilled);
        decode.attempt().ifPresent(attempt -> attempt.commit(work));
    }

    @Override
    public void onPart(Attempt attempt, Message.AnswerPart part) {
        if (!decode.isOf(attempt)) {
            return;
        }
        if (!answer.hasTokens()) {
            queueTimeout.cancel();
            estimate.observeFirstToken(context.timer().nowMillis() - decodeGrantedMillis);
        }
        recordTransferEnd();
        unusedPrefillTokens = 0;
        prefill.release();
        suspectTracker.onTokens(part.tokens(), attempt.connection().serverName());
        answer.writePart(part.content(), part.tokens(), context.timer().nowMillis());
    }

    private void recordTransferEnd() {
        transfer.ifPresent(open -> open.recordEnd(context.timer().nowMillis()));
        transfer = Optional.empty();
    }

    @Override
    public void onCompleted(Attempt attempt, Message.AnswerEnd end) {
        if (!decode.isOf(attempt)) {
            return;
        }
        answer.end(end.finishReason());
        unusedPrefillTokens = 0;
        suspectTracker.onAnswered();
        recorder.recordAnswered(latency.targetsMet(), latency.firstTokenMillis(), answer.tokens());
        finish("none");
    }

    @Override
    public void onFailed(Attempt attempt, RequestFailure failure) {
        Optional<PoolReservation> reservation = reservationOf(attempt);
        if (done || reservation.isEmpty()) {
            return;
        }
        lastFailure = Optional.of(failure);
        if (failure.code() == ErrorCode.BACKEND_CRASHED) {
            suspectTracker.onCrash(attempt);
        }
        suspectTracker.endIsolation(attempt.connection().serverName());
        if (failure.code() == ErrorCode.INVALID_REQUEST) {
            fail(failure);
        } else if (failure.verdict() == Verdict.NOT_RUN
                && !isExportEvicted(reservation.get(), failure)) {
            // A refused offer costs nothing: try another server or wait in the queue.
            reservation.get().clear();
            excluded.add(attempt.connection().serverName());
            advance();
        } else {
            if (isExportEvicted(reservation.get(), failure)) {
                // A KV cache that arrived too late measures the link as well as any other.
                recordTransferEnd();
            }
            releaseAll(failure.code().label());
            retryAfterRun(attempt, failure);
        }
    }

    /**
     * Returns whether a failed decode is attributed to a KV cache that was evicted before its
     * transfer; the same work must not be sent again.
     */
    private boolean isExportEvicted(PoolReservation reservation, RequestFailure failure) {
        return reservation == decode
                && reservation.state() == ReservationState.RUNNING
                && failure.code() == ErrorCode.BACKEND_ERROR;
    }

    private void retryAfterRun(Attempt attempt, RequestFailure failure) {
        attempts++;
        boolean affordable = context.retryBudgets().forDeployment(labels.deployment()).tryRetry();
        boolean mustRetry = request.requestClass().patient() || answer.hasTokens();
        if (attempts >= request.policy().maximumAttempts() || !affordable && !mustRetry) {
            fail(failure);
            return;
        }
        recorder.recordRetry(attempt.connection().serverName(), failure);
        excluded.add(attempt.connection().serverName());
        // Without budget, work that must not be lost is retried late rather than failed.
        int retry = affordable ? attempts - 1 : RETRY_NUMBER_WITHOUT_BUDGET;
        long delayMillis = BACKOFF.delayMillis(retry, ThreadLocalRandom.current().nextDouble());
        timer.once(delayMillis, this::advance);
    }

    private void enqueue() {
        excluded.clear();
        WaitQueue.Waiter next =
                new WaitQueue.Waiter(
                        estimate.lane(),
                        estimate.queuedRequest(holdsReservation()),
                        () -> serial.execute(this::advance));
        waiter = Optional.of(next);
        if (context.waitQueue().size() >= request.policy().queueLimit() && !answer.hasTokens()) {
            fail(overloaded("the queue is full"));
            return;
        }
        context.waitQueue().add(next, RoutingStrategies.queueOrder(request.policy()));
    }

    private boolean holdsReservation() {
        return decode.state() != ReservationState.NONE || prefill.state() != ReservationState.NONE;
    }

    private void onQueueTimeout() {
        if (!done && waiter.isPresent() && !answer.hasTokens()) {
            fail(overloaded("no backend server had capacity in time"));
        }
    }

    private void onDeadline() {
        if (!done) {
            String last = lastFailure.map(RequestFailure::message).orElse("no earlier failure");
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
        RequestFailure reported = recorder.withCombinedVerdict(failure);
        answer.fail(reported);
        recorder.recordFailed(reported);
        finish(reported.code().label());
    }

    private void finish(String wasteCause) {
        done = true;
        deadline.cancel();
        queueTimeout.cancel();
        waiter.ifPresent(context.waitQueue()::remove);
        releaseAll(wasteCause);
        onDone.run();
    }

    private void releaseAll(String wasteCause) {
        recordWastedPrefill(wasteCause);
        exportTimeout.cancel();
        prefill.release();
        decode.release();
        suspectTracker.endAllIsolation();
    }

    private void recordWastedPrefill(String cause) {
        if (unusedPrefillTokens > 0) {
            context.metrics().countWastedPrefill(labels, cause, unusedPrefillTokens);
            unusedPrefillTokens = 0;
        }
    }

    private long remainingMillis() {
        long endMillis = startMillis + request.requestClass().timeoutMillis();
        return Math.max(1, endMillis - context.timer().nowMillis());
    }

    private Optional<PoolReservation> reservationOf(Attempt attempt) {
        return Stream.of(decode, prefill)
                .filter(reservation -> reservation.isOf(attempt))
                .findFirst();
    }
}
