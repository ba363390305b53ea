package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.ledger.AttemptKind;
import dev.foxtailshed.kernel.ledger.CommitDecision;
import dev.foxtailshed.kernel.ledger.LedgerEffect;
import dev.foxtailshed.kernel.ledger.LedgerSnapshot;
import dev.foxtailshed.kernel.ledger.OfferDecision;
import dev.foxtailshed.kernel.ledger.QueryDecision;
import dev.foxtailshed.kernel.ledger.ReservationRequest;
import dev.foxtailshed.kernel.ledger.ServerLedger;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.Message.Failed;
import dev.foxtailshed.wire.Message.Grant;
import dev.foxtailshed.wire.Message.Offer;
import dev.foxtailshed.wire.Message.Outcome;
import dev.foxtailshed.wire.Message.OutcomeQuery;
import dev.foxtailshed.wire.Message.Refuse;
import dev.foxtailshed.wire.Message.StoredAnswer;
import dev.foxtailshed.wire.Message.Work;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;

/**
 * Handles the messages about work: consults the ledger, starts and cancels work at the backend
 * server, and replies to the entry.
 *
 * <p>Confined to the sidecar's executor, except for the callbacks at the end of runs, which may
 * come on any thread.
 */
final class WorkHandler implements ActiveRun.EndListener {

    private final SidecarSettings settings;
    private final ServerLedger<StoredAnswer> ledger;
    private final BackendDriver driver;
    private final TimerService timer;
    private final Executor executor;
    private final SidecarEvents events;
    private final Runnable onChange;
    private final LongConsumer onLeaseExpired;
    private final Map<AttemptId, ActiveRun> runs = new HashMap<>();
    private final Map<AttemptId, Set<EntryConnection>> queryingEntries = new HashMap<>();

    /**
     * Creates a handler.
     *
     * @param onChange runs after each change of the ledger
     * @param onLeaseExpired receives the incarnation of an entry whose lease has expired
     */
    WorkHandler(
            SidecarSettings settings,
            BackendDriver driver,
            TimerService timer,
            Executor executor,
            SidecarEvents events,
            Runnable onChange,
            LongConsumer onLeaseExpired) {
        this.settings = settings;
        this.ledger = new ServerLedger<>(settings.incarnation(), settings.terms());
        this.driver = driver;
        this.timer = timer;
        this.executor = executor;
        this.events = events;
        this.onChange = onChange;
        this.onLeaseExpired = onLeaseExpired;
    }

    LedgerSnapshot counts() {
        return ledger.snapshot();
    }

    long linkBacklogBytes() {
        return runs.values().stream().mapToLong(ActiveRun::linkBacklogBytes).sum();
    }

    void applyLimits(CachedManifest manifest) {
        PoolLimits limits = manifest.limits();
        if (ledger.applyLimits(manifest.version(), limits.slots(), limits.pieces())) {
            events.manifestApplied(manifest.version(), limits);
            onChange.run();
        }
    }

    void drain() {
        ledger.drain();
        onChange.run();
    }

    void suspend(boolean unreachable) {
        ledger.setSuspended(unreachable);
        onChange.run();
    }

    void renewLease(long entryIncarnation) {
        ledger.renewLease(entryIncarnation, timer.nowMillis());
    }

    void tick() {
        applyEffects(ledger.tick(timer.nowMillis()));
    }

    void connectionClosed(EntryConnection entry) {
        applyEffects(
                ledger.handleConnectionLoss(
                        entry.peer().incarnation(),
                        id -> runs.containsKey(id) && runs.get(id).entry() == entry,
                        timer.nowMillis()));
    }

    void offer(EntryConnection entry, Offer offer) {
        OfferDecision decision = ledger.offer(toReservationRequest(offer), timer.nowMillis());
        if (decision instanceof OfferDecision.Granted granted) {
            entry.send(new Grant(offer.attemptId(), granted.expiresInMillis()));
        } else if (decision instanceof OfferDecision.Refused refused) {
            refuse(entry, offer.attemptId(), refused.failure());
        }
        onChange.run();
    }

    void commit(EntryConnection entry, Message.Commit commit) {
        int keptAnswerBytes =
                commit.work() instanceof Message.CallWork ? settings.maximumAnswerBytes() : 0;
        startIfCommitted(entry, commit.attemptId(), commit.work(), keptAnswerBytes);
    }

    /**
     * Handles an offer and its commit in one message. Calls sent this way are idempotent, so no
     * answer is stored for outcome queries.
     */
    void dispatch(EntryConnection entry, Message.Dispatch dispatch) {
        AttemptId id = dispatch.offer().attemptId();
        OfferDecision decision =
                ledger.offer(toReservationRequest(dispatch.offer()), timer.nowMillis());
        if (decision instanceof OfferDecision.Refused refused) {
            refuse(entry, id, refused.failure());
        } else if (decision instanceof OfferDecision.Granted) {
            startIfCommitted(entry, id, dispatch.work(), 0);
        }
        onChange.run();
    }

    void cancel(AttemptId id) {
        applyEffects(ledger.cancel(id, timer.nowMillis()));
    }

    void query(EntryConnection entry, OutcomeQuery query) {
        AttemptId id = query.attemptId();
        QueryDecision<StoredAnswer> decision =
                ledger.query(id, query.sidecarIncarnation(), timer.nowMillis());
        if (decision instanceof QueryDecision.Known<StoredAnswer> known) {
            entry.send(new Outcome(id, known.verdict(), known.answer()));
        } else {
            queryingEntries.computeIfAbsent(id, key -> new LinkedHashSet<>()).add(entry);
        }
        onChange.run();
    }

    /** Returns the request ids of all active runs, which the backend server may hold. */
    Set<String> knownRequests() {
        return runs.keySet().stream()
                .map(AttemptId::label)
                .collect(Collectors.toCollection(HashSet::new));
    }

    /**
     * Releases the requests that the backend server holds but the ledger does not know.
     *
     * @param heldRequests the requests that the backend server holds
     * @param knownBefore the requests that were known when the list was requested, since an attempt
     *     may have ended meanwhile
     * @return completes once none of them is held
     */
    CompletableFuture<Void> releaseOrphans(List<String> heldRequests, Set<String> knownBefore) {
        Set<String> known = knownRequests();
        known.addAll(knownBefore);
        List<CompletableFuture<Void>> releases = new ArrayList<>();
        for (String requestId : heldRequests) {
            if (!known.contains(requestId)) {
                events.orphanReleased(requestId);
                releases.add(driver.release(requestId));
            }
        }
        return CompletableFuture.allOf(releases.toArray(new CompletableFuture<?>[0]));
    }

    @Override
    public void onRunPrefilled(ActiveRun run, Message.Prefilled message) {
        executor.execute(
                () -> {
                    reportEnd(run, Verdict.RAN, "");
                    if (ledger.recordExport(run.id(), timer.nowMillis())) {
                        run.entry().send(message);
                        onChange.run();
                    }
                });
    }

    @Override
    public void onRunAnswered(ActiveRun run, Message.AnswerEnd message) {
        executor.execute(
                () -> {
                    reportEnd(run, Verdict.RAN, "");
                    run.entry().send(message);
                    finish(run, Verdict.RAN, run.storedAnswer());
                });
    }

    @Override
    public void onRunFailed(ActiveRun run, RequestFailure failure) {
        executor.execute(
                () -> {
                    events.workFailed(run.id(), failure);
                    reportEnd(run, failure.verdict(), failure.code().label());
                    if (failure.code() == ErrorCode.NO_SERVER) {
                        ledger.setSuspended(true);
                    }
                    finish(run, failure.verdict(), Optional.empty());
                    run.entry().send(toFailedMessage(run.id(), failure));
                });
    }

    private void startIfCommitted(
            EntryConnection entry, AttemptId id, Work work, int keptAnswerBytes) {
        CommitDecision decision = ledger.commit(id, timer.nowMillis());
        if (decision instanceof CommitDecision.Run) {
            ActiveRun run =
                    new ActiveRun(
                            id,
                            entry,
                            work,
                            this,
                            timer,
                            settings.maximumQueuedBytes(),
                            keptAnswerBytes);
            runs.put(id, run);
            driver.start(id, work, run);
        } else if (decision instanceof CommitDecision.Refused refused) {
            refuse(entry, id, refused.failure());
        }
        onChange.run();
    }

    private void finish(ActiveRun run, Verdict verdict, Optional<StoredAnswer> answer) {
        long sizeBytes = answer.map(stored -> (long) stored.body().length).orElse(0L);
        List<LedgerEffect> effects =
                ledger.finish(run.id(), verdict, answer, sizeBytes, timer.nowMillis());
        if (!ledger.isActiveAtBackend(run.id())) {
            runs.remove(run.id());
        }
        applyEffects(effects);
    }

    private void applyEffects(List<LedgerEffect> effects) {
        for (LedgerEffect effect : effects) {
            if (effect instanceof LedgerEffect.CancelWork cancel) {
                AttemptId id = cancel.attemptId();
                driver.cancel(id).thenRun(() -> executor.execute(() -> onCancelled(id)));
            } else if (effect instanceof LedgerEffect.GrantExpired expired) {
                events.grantExpired(expired.attemptId());
            } else if (effect instanceof LedgerEffect.LeaseExpired expired) {
                onLeaseExpired.accept(expired.entryIncarnation());
            } else if (effect instanceof LedgerEffect.OutcomeKnown outcome) {
                answerPendingQueries(outcome.attemptId());
            }
        }
        onChange.run();
    }

    private void onCancelled(AttemptId id) {
        ActiveRun run = runs.remove(id);
        if (run != null) {
            reportEnd(run, Verdict.MAY_HAVE_RUN, ErrorCode.CANCELLED.label());
        }
        applyEffects(ledger.confirmCancellation(id, timer.nowMillis()));
    }

    /**
     * Reports the end of a run once: a cancelled run may end by itself before its cancellation is
     * confirmed, and only the first end counts.
     */
    private void reportEnd(ActiveRun run, Verdict verdict, String code) {
        if (run.markEnded()) {
            events.workEnded(run.id(), run.kind(), verdict, code);
        }
    }

    private void answerPendingQueries(AttemptId id) {
        Set<EntryConnection> entries = queryingEntries.remove(id);
        if (entries != null) {
            OutcomeQuery query = new OutcomeQuery(id, settings.incarnation());
            entries.forEach(entry -> query(entry, query));
        }
    }

    /**
     * Sends a refusal, which means on the wire that the attempt did not run, or a failure if the
     * verdict is any other.
     */
    private static void refuse(EntryConnection entry, AttemptId id, RequestFailure failure) {
        if (failure.verdict() == Verdict.NOT_RUN) {
            long retryAfterMillis = failure.retryAfterMillis().orElse(0);
            entry.send(new Refuse(id, failure.code().label(), failure.message(), retryAfterMillis));
        } else {
            entry.send(toFailedMessage(id, failure));
        }
    }

    private static Failed toFailedMessage(AttemptId id, RequestFailure failure) {
        return new Failed(id, failure.verdict(), failure.code().label(), failure.message());
    }

    private static ReservationRequest toReservationRequest(Offer offer) {
        AttemptKind kind =
                switch (offer.kind()) {
                    case CALL -> AttemptKind.CALL;
                    case PREFILL -> AttemptKind.PREFILL;
                    case DECODE -> AttemptKind.DECODE;
                };
        return new ReservationRequest(
                offer.attemptId(),
                kind,
                offer.manifestVersion(),
                Math.max(0, offer.pieces()),
                offer.promptTokens(),
                Math.max(0, offer.neededInMillis()));
    }
}
