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
 * Handles the messages about work: asks the ledger, starts and cancels at the backend server, and
 * answers the entry.
 *
 * <p>Confined to the sidecar's executor, but for the ends of runs, which come on any thread.
 */
final class WorkHandler implements ActiveRun.End {

    private final SidecarSettings settings;
    private final ServerLedger<StoredAnswer> ledger;
    private final BackendDriver driver;
    private final TimerService timer;
    private final Executor executor;
    private final SidecarEvents events;
    private final Runnable changed;
    private final LongConsumer leaseLapsed;
    private final Map<AttemptId, ActiveRun> runs = new HashMap<>();
    private final Map<AttemptId, Set<EntryConnection>> askingLinks = new HashMap<>();

    /**
     * Creates a desk.
     *
     * @param changed runs after each change of the ledger
     * @param leaseLapsed takes the incarnation of an entry whose lease lapsed
     */
    WorkHandler(
            SidecarSettings settings,
            BackendDriver driver,
            TimerService timer,
            Executor executor,
            SidecarEvents events,
            Runnable changed,
            LongConsumer leaseLapsed) {
        this.settings = settings;
        this.ledger = new ServerLedger<>(settings.incarnation(), settings.terms());
        this.driver = driver;
        this.timer = timer;
        this.executor = executor;
        this.events = events;
        this.changed = changed;
        this.leaseLapsed = leaseLapsed;
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
            changed.run();
        }
    }

    void drain() {
        ledger.drain();
        changed.run();
    }

    void suspend(boolean unreachable) {
        ledger.setSuspended(unreachable);
        changed.run();
    }

    void renewLease(long entryIncarnation) {
        ledger.renewLease(entryIncarnation, timer.nowMillis());
    }

    void tick() {
        apply(ledger.tick(timer.nowMillis()));
    }

    void linkClosed(EntryConnection link) {
        apply(
                ledger.handleConnectionLoss(
                        link.peer().incarnation(),
                        id -> runs.containsKey(id) && runs.get(id).link() == link,
                        timer.nowMillis()));
    }

    void offer(EntryConnection link, Offer offer) {
        OfferDecision decision = ledger.offer(reservationRequest(offer), timer.nowMillis());
        if (decision instanceof OfferDecision.Granted granted) {
            link.send(new Grant(offer.attemptId(), granted.expiresInMillis()));
        } else if (decision instanceof OfferDecision.Refused refused) {
            refuse(link, offer.attemptId(), refused.failure());
        }
        changed.run();
    }

    void commit(EntryConnection link, Message.Commit commit) {
        int keptBytes =
                commit.work() instanceof Message.CallWork ? settings.maximumAnswerBytes() : 0;
        commit(link, commit.attemptId(), commit.work(), keptBytes);
    }

    /** Calls that come this way are idempotent, so that nobody needs a stored answer. */
    void dispatch(EntryConnection link, Message.Dispatch dispatch) {
        AttemptId id = dispatch.offer().attemptId();
        OfferDecision decision =
                ledger.offer(reservationRequest(dispatch.offer()), timer.nowMillis());
        if (decision instanceof OfferDecision.Refused refused) {
            refuse(link, id, refused.failure());
        } else if (decision instanceof OfferDecision.Granted) {
            commit(link, id, dispatch.work(), 0);
        }
        changed.run();
    }

    void cancel(AttemptId id) {
        apply(ledger.cancel(id, timer.nowMillis()));
    }

    void query(EntryConnection link, OutcomeQuery query) {
        AttemptId id = query.attemptId();
        QueryDecision<StoredAnswer> decision =
                ledger.query(id, query.sidecarIncarnation(), timer.nowMillis());
        if (decision instanceof QueryDecision.Known<StoredAnswer> known) {
            link.send(new Outcome(id, known.verdict(), known.answer()));
        } else {
            askingLinks.computeIfAbsent(id, key -> new LinkedHashSet<>()).add(link);
        }
        changed.run();
    }

    /** Returns the request ids of all that the backend server may hold rightly. */
    Set<String> knownRequests() {
        return runs.keySet().stream()
                .map(AttemptId::label)
                .collect(Collectors.toCollection(HashSet::new));
    }

    /**
     * Releases what the backend server holds and the ledger does not know.
     *
     * @param heldRequests what it holds
     * @param knownBefore what the ledger knew when the question went out, since an attempt may have
     *     ended meanwhile
     * @return done as soon as nothing of it is held
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
    public void prefilled(ActiveRun run, Message.Prefilled message) {
        executor.execute(
                () -> {
                    note(run, Verdict.RAN, "");
                    if (ledger.recordExport(run.id(), timer.nowMillis())) {
                        run.link().send(message);
                        changed.run();
                    }
                });
    }

    @Override
    public void answered(ActiveRun run, Message.AnswerEnd message) {
        executor.execute(
                () -> {
                    note(run, Verdict.RAN, "");
                    run.link().send(message);
                    finish(run, Verdict.RAN, run.storedAnswer());
                });
    }

    @Override
    public void failed(ActiveRun run, RequestFailure failure) {
        executor.execute(
                () -> {
                    events.workFailed(run.id(), failure);
                    note(run, failure.verdict(), failure.code().label());
                    if (failure.code() == ErrorCode.NO_SERVER) {
                        ledger.setSuspended(true);
                    }
                    finish(run, failure.verdict(), Optional.empty());
                    run.link().send(failed(run.id(), failure));
                });
    }

    private void commit(EntryConnection link, AttemptId id, Work work, int keptBytes) {
        CommitDecision decision = ledger.commit(id, timer.nowMillis());
        if (decision instanceof CommitDecision.Run) {
            ActiveRun run =
                    new ActiveRun(
                            id, link, work, this, timer, settings.maximumQueuedBytes(), keptBytes);
            runs.put(id, run);
            driver.start(id, work, run);
        } else if (decision instanceof CommitDecision.Refused refused) {
            refuse(link, id, refused.failure());
        }
        changed.run();
    }

    private void finish(ActiveRun run, Verdict verdict, Optional<StoredAnswer> answer) {
        long sizeBytes = answer.map(stored -> (long) stored.body().length).orElse(0L);
        List<LedgerEffect> effects =
                ledger.finish(run.id(), verdict, answer, sizeBytes, timer.nowMillis());
        if (!ledger.isActiveAtBackend(run.id())) {
            runs.remove(run.id());
        }
        apply(effects);
    }

    private void apply(List<LedgerEffect> effects) {
        for (LedgerEffect effect : effects) {
            if (effect instanceof LedgerEffect.CancelWork cancel) {
                AttemptId id = cancel.attemptId();
                driver.cancel(id).thenRun(() -> executor.execute(() -> cancelled(id)));
            } else if (effect instanceof LedgerEffect.GrantExpired lapsed) {
                events.grantLapsed(lapsed.attemptId());
            } else if (effect instanceof LedgerEffect.LeaseExpired lapsed) {
                leaseLapsed.accept(lapsed.entryIncarnation());
            } else if (effect instanceof LedgerEffect.OutcomeKnown outcome) {
                answerAskingLinks(outcome.attemptId());
            }
        }
        changed.run();
    }

    private void cancelled(AttemptId id) {
        ActiveRun run = runs.remove(id);
        if (run != null) {
            note(run, Verdict.MAY_HAVE_RUN, ErrorCode.CANCELLED.label());
        }
        apply(ledger.confirmCancellation(id, timer.nowMillis()));
    }

    /** A cancelled run may end by itself before its cancellation is confirmed; the first counts. */
    private void note(ActiveRun run, Verdict verdict, String code) {
        if (run.endFirst()) {
            events.workEnded(run.id(), run.kind(), verdict, code);
        }
    }

    private void answerAskingLinks(AttemptId id) {
        Set<EntryConnection> links = askingLinks.remove(id);
        if (links != null) {
            OutcomeQuery query = new OutcomeQuery(id, settings.incarnation());
            links.forEach(link -> query(link, query));
        }
    }

    /** A refusal on the wire says that the attempt did not run; any other verdict is a failure. */
    private static void refuse(EntryConnection link, AttemptId id, RequestFailure failure) {
        if (failure.verdict() == Verdict.NOT_RUN) {
            long retryAfterMillis = failure.retryAfterMillis().orElse(0);
            link.send(new Refuse(id, failure.code().label(), failure.message(), retryAfterMillis));
        } else {
            link.send(failed(id, failure));
        }
    }

    private static Failed failed(AttemptId id, RequestFailure failure) {
        return new Failed(id, failure.verdict(), failure.code().label(), failure.message());
    }

    private static ReservationRequest reservationRequest(Offer offer) {
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
