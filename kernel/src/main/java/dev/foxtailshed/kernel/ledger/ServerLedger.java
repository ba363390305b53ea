package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.ledger.EndedAttempts.Ended;
import dev.foxtailshed.kernel.ledger.Reservation.State;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Counts the request slots and KV pieces of one backend server and decides what may run on it.
 *
 * <p>Example:
 *
 * <pre>{@code
 * ServerLedger<byte[]> ledger = new ServerLedger<>(incarnation, terms);
 * ledger.applyLimits(manifestVersion, slots, pieces);
 * ledger.offer(request, nowMillis);      // Granted
 * ledger.commit(attemptId, nowMillis);   // Run: start the work now
 * ledger.finish(attemptId, Verdict.RAN, Optional.of(answer), answer.length, nowMillis);
 * }</pre>
 *
 * <p>Not thread-safe: one thread owns a ledger. It starts nothing itself; what its owner must do is
 * returned. All times are of one monotonic clock.
 *
 * <p><b>Why an attempt runs at most once, and never after "not run" was answered.</b>
 *
 * <ol>
 *   <li>Work starts only when {@link #commit} returns {@code Run}, which needs a place in state
 *       GRANTED and moves it on at once. No state leads back to GRANTED, so one grant gives at most
 *       one run.
 *   <li>Only {@link #offer} makes a grant, and only for an attempt that has no place, is not
 *       remembered as ended, and lies above the mark of what was forgotten for its entry. Each
 *       attempt with a place ends as a remembered record, and a record is forgotten only by raising
 *       that mark to its sequence number; marks never fall. So an attempt gets at most one grant.
 *       An attempt that was never seen but lies below the mark is refused too, which is safe.
 *   <li>"Not run" is answered only for an attempt that has no place and is remembered as not run,
 *       or is so remembered by that very answer. By 2 it gets no further grant, and by 1 it cannot
 *       run without one. Every refusal, lapse and withdrawal is such a record.
 *   <li>When nothing is remembered of an attempt and one that ran may have been forgotten, the
 *       answer is "may have run". So it is for a commit or a cancellation without any record, whose
 *       grant may have come from an earlier incarnation.
 * </ol>
 *
 * <p>An entry does its part by using one attempt id with one incarnation of one sidecar only: after
 * a restart of the sidecar it asks for the outcome with the incarnation that it had used, and
 * offers under a new id.
 *
 * @param <A> the type of stored answers
 */
public final class ServerLedger<A> {

    private final long incarnation;
    private final LedgerSettings terms;
    private final EndedAttempts<A> ended;
    private final Map<AttemptId, Reservation<A>> places = new LinkedHashMap<>();
    private final Leases leases;
    private final Occupancy occupancy = new Occupancy();
    private final AdmissionControl admission;

    /**
     * Creates an empty ledger, which refuses all offers until limits are applied.
     *
     * @param incarnation the random number of this start of the sidecar
     * @param terms times and bounds
     */
    public ServerLedger(long incarnation, LedgerSettings terms) {
        this.incarnation = incarnation;
        this.terms = Objects.requireNonNull(terms, "terms");
        this.admission = new AdmissionControl(occupancy, terms);
        this.leases = new Leases(terms.leaseMillis());
        this.ended = new EndedAttempts<>(terms);
    }

    /**
     * Applies the limits of a newer manifest; an older or equal version changes nothing. Work above
     * lower limits runs on, and nothing is granted until it has ended.
     *
     * @param version the manifest version
     * @param slots the request slots
     * @param pieces the KV pieces
     * @return whether the limits were applied
     */
    public boolean applyLimits(long version, int slots, int pieces) {
        return admission.applyLimits(version, slots, pieces);
    }

    /**
     * Decides about an offer and renews the lease of its entry.
     *
     * @param request the place that is asked for
     * @param nowMillis the time
     * @return the decision
     */
    public OfferDecision offer(ReservationRequest request, long nowMillis) {
        AttemptId id = request.attemptId();
        renewLease(id.entryIncarnation(), nowMillis);
        Reservation<A> place = places.get(id);
        if (place != null) {
            return repeatOffer(place, nowMillis);
        }
        Optional<Ended<A>> record = ended.find(id);
        if (record.isPresent()) {
            return record.get().verdict == Verdict.RAN
                    ? new OfferDecision.AlreadyCommitted()
                    : new OfferDecision.Refused(tooLate(record.get().verdict));
        }
        if (ended.mayHaveEnded(id)) {
            return new OfferDecision.Refused(forgotten(id));
        }
        Optional<RequestFailure> refusal = admission.refusalOf(request);
        if (refusal.isPresent()) {
            bury(id, Verdict.NOT_RUN, nowMillis);
            return new OfferDecision.Refused(refusal.get());
        }
        long expiresInMillis = admission.expiresInMillis(request);
        occupancy.take(1, request.pieces());
        places.put(id, new Reservation<>(request, nowMillis + expiresInMillis));
        return new OfferDecision.Granted(expiresInMillis);
    }

    /**
     * Decides about a commit.
     *
     * @param id the attempt
     * @param nowMillis the time
     * @return the decision; {@code Run} at most once for an attempt
     */
    public CommitDecision commit(AttemptId id, long nowMillis) {
        renewLease(id.entryIncarnation(), nowMillis);
        Reservation<A> place = places.get(id);
        if (place != null && place.state == State.GRANTED) {
            if (place.isDue(nowMillis)) {
                withdraw(place, nowMillis);
                return new CommitDecision.Refused(tooLate(Verdict.NOT_RUN));
            }
            place.state = State.RUNNING;
            return new CommitDecision.Run();
        }
        if (place != null) {
            return new CommitDecision.AlreadyCommitted();
        }
        Optional<Ended<A>> record = ended.find(id);
        if (record.isEmpty()) {
            return new CommitDecision.Refused(withoutRecord(id, nowMillis));
        }
        return record.get().verdict == Verdict.RAN
                ? new CommitDecision.AlreadyCommitted()
                : new CommitDecision.Refused(tooLate(record.get().verdict));
    }

    /**
     * Records that a prompt was read; its slot is free and its pieces stay held as an export.
     *
     * @param id the attempt
     * @param nowMillis the time
     * @return whether the export is of use; false if the attempt was cancelled meanwhile
     */
    public boolean recordExport(AttemptId id, long nowMillis) {
        Reservation<A> place = places.get(id);
        if (place == null || place.state != State.RUNNING) {
            return false;
        }
        // An export waits in memory and takes no part in the batches of the engine.
        occupancy.release(place.slots, 0);
        place.slots = 0;
        place.state = State.EXPORTED;
        place.dueMillis = nowMillis + terms.exportTimeoutMillis();
        return true;
    }

    /**
     * Records that the work of a committed attempt ended at the backend server. If a cancellation
     * is under way, the place stays held until {@link #confirmCancellation}.
     *
     * @param id the attempt
     * @param verdict whether it may have run
     * @param answer the whole answer, to be kept for queries within bounds
     * @param answerBytes the size of that answer
     * @param nowMillis the time
     * @return what to do
     */
    public List<LedgerEffect> finish(
            AttemptId id, Verdict verdict, Optional<A> answer, long answerBytes, long nowMillis) {
        Reservation<A> place = places.get(id);
        if (place == null || place.state == State.GRANTED) {
            return List.of();
        }
        place.verdict = verdict;
        place.answer = answer;
        place.answerBytes = answerBytes;
        return place.state == State.CANCELLING ? List.of() : end(place, nowMillis);
    }

    /**
     * Records that the backend server holds nothing more of an attempt that was to be cancelled.
     *
     * @param id the attempt
     * @param nowMillis the time
     * @return what to do
     */
    public List<LedgerEffect> confirmCancellation(AttemptId id, long nowMillis) {
        Reservation<A> place = places.get(id);
        if (place == null || place.state != State.CANCELLING) {
            return List.of();
        }
        return end(place, nowMillis);
    }

    /**
     * Ends an attempt in any state. An attempt that was never seen can never run from then on.
     *
     * @param id the attempt
     * @param nowMillis the time
     * @return what to do
     */
    public List<LedgerEffect> cancel(AttemptId id, long nowMillis) {
        Reservation<A> place = places.get(id);
        if (place != null) {
            return cancel(place, nowMillis);
        }
        if (ended.find(id).isEmpty()) {
            bury(id, Verdict.MAY_HAVE_RUN, nowMillis);
        }
        return List.of();
    }

    /**
     * Tells what is proved about an attempt. One that was not committed can never run from then on.
     *
     * @param id the attempt
     * @param askedIncarnation the incarnation that the commit went to
     * @param nowMillis the time
     * @return the decision
     */
    public QueryDecision<A> query(AttemptId id, long askedIncarnation, long nowMillis) {
        if (askedIncarnation != incarnation) {
            return new QueryDecision.Known<>(Verdict.MAY_HAVE_RUN, Optional.empty());
        }
        Reservation<A> place = places.get(id);
        if (place != null && place.state != State.GRANTED) {
            place.outcomeAsked = true;
            return new QueryDecision.Running<>();
        }
        if (place != null) {
            withdraw(place, nowMillis);
        }
        Optional<Ended<A>> record = ended.find(id);
        if (record.isPresent()) {
            return new QueryDecision.Known<>(record.get().verdict, record.get().answer);
        }
        boolean forgotten = ended.mayHaveRun(id);
        Verdict verdict = forgotten ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        bury(id, verdict, nowMillis);
        return new QueryDecision.Known<>(verdict, Optional.empty());
    }

    /**
     * Renews the lease of an entry.
     *
     * @param entryIncarnation the entry
     * @param nowMillis the time
     */
    public void renewLease(long entryIncarnation, long nowMillis) {
        leases.renew(entryIncarnation, nowMillis);
    }

    /**
     * Records that a connection of an entry was cut. Running model work that was committed on it is
     * cancelled, since its answer has nowhere to go; grants, exports and calls wait for the entry
     * until its lease lapses.
     *
     * @param entryIncarnation the entry
     * @param committedOnIt tells whether an attempt was committed on that connection
     * @param nowMillis the time
     * @return what to do
     */
    public List<LedgerEffect> handleConnectionLoss(
            long entryIncarnation, Predicate<AttemptId> committedOnIt, long nowMillis) {
        return cancelWhere(
                place ->
                        place.belongsTo(entryIncarnation)
                                && place.state == State.RUNNING
                                && place.kind != AttemptKind.CALL
                                && committedOnIt.test(place.attemptId),
                nowMillis);
    }

    /**
     * Releases all that an entry holds, but for running calls, whose outcome can still be asked.
     *
     * @param entryIncarnation the entry
     * @param nowMillis the time
     * @return what to do
     */
    public List<LedgerEffect> releaseEntry(long entryIncarnation, long nowMillis) {
        leases.remove(entryIncarnation);
        return cancelWhere(
                place ->
                        place.belongsTo(entryIncarnation)
                                && (place.kind != AttemptKind.CALL || place.state == State.GRANTED),
                nowMillis);
    }

    /**
     * Lapses leases, grants and exports whose time is over, and forgets old records.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<LedgerEffect> tick(long nowMillis) {
        List<LedgerEffect> effects = new ArrayList<>();
        for (Reservation<A> place : List.copyOf(places.values())) {
            if (place.isDue(nowMillis)) {
                if (place.state == State.GRANTED) {
                    effects.add(new LedgerEffect.GrantExpired(place.attemptId));
                }
                effects.addAll(cancel(place, nowMillis));
            }
        }
        for (long entryIncarnation : leases.takeLapsed(nowMillis)) {
            effects.add(new LedgerEffect.LeaseExpired(entryIncarnation));
            effects.addAll(releaseEntry(entryIncarnation, nowMillis));
        }
        ended.prune(nowMillis);
        return effects;
    }

    /** Refuses new offers from now on; grants may still be committed, and work runs on. */
    public void drain() {
        admission.drain();
    }

    /**
     * Refuses new offers for as long as the backend server is not reachable, so that a server that
     * is down does not look like an idle one.
     *
     * @param unreachable whether it is unreachable now
     */
    public void setSuspended(boolean unreachable) {
        admission.setSuspended(unreachable);
    }

    /**
     * Returns the counts as they are.
     *
     * @return a snapshot
     */
    public LedgerSnapshot snapshot() {
        return new LedgerSnapshot(
                admission.manifestVersion(),
                admission.isDraining(),
                admission.isSuspended() ? 0 : occupancy.freeSlots(),
                admission.isSuspended() ? 0 : occupancy.freePieces(),
                occupancy.usedSlots(),
                occupancy.usedPieces(),
                places.values().stream().mapToLong(Reservation::queuedTokens).sum(),
                places.size(),
                ended.size());
    }

    /**
     * Tells whether the ledger knows of an attempt that holds something at the backend server.
     *
     * @param id the attempt
     * @return true for a committed attempt that has not ended
     */
    public boolean isActiveAtBackend(AttemptId id) {
        Reservation<A> place = places.get(id);
        return place != null && place.state != State.GRANTED;
    }

    /**
     * Checks that the counts are those of the places.
     *
     * @throws IllegalStateException if they are not
     */
    public void checkInvariants() {
        int slots = 0;
        int pieces = 0;
        for (Reservation<A> place : places.values()) {
            slots += place.slots;
            pieces += place.pieces;
        }
        occupancy.check(slots, pieces);
    }

    private OfferDecision repeatOffer(Reservation<A> place, long nowMillis) {
        if (place.state != State.GRANTED) {
            return new OfferDecision.AlreadyCommitted();
        }
        if (place.isDue(nowMillis)) {
            withdraw(place, nowMillis);
            return new OfferDecision.Refused(tooLate(Verdict.NOT_RUN));
        }
        return new OfferDecision.Granted(place.dueMillis - nowMillis);
    }

    private static RequestFailure tooLate(Verdict verdict) {
        return RequestFailure.of(
                verdict, ErrorCode.TIMEOUT, "the grant lapsed or the attempt was ended");
    }

    private RequestFailure forgotten(AttemptId id) {
        Verdict verdict = ended.mayHaveRun(id) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        return RequestFailure.of(verdict, ErrorCode.TIMEOUT, "the attempt is too old");
    }

    /** A commit whose grant is not known here may have run at an earlier incarnation. */
    private RequestFailure withoutRecord(AttemptId id, long nowMillis) {
        bury(id, Verdict.MAY_HAVE_RUN, nowMillis);
        return RequestFailure.of(
                Verdict.MAY_HAVE_RUN,
                ErrorCode.OUTCOME_UNKNOWN,
                "no grant of the attempt is known");
    }

    private List<LedgerEffect> cancelWhere(Predicate<Reservation<A>> condition, long nowMillis) {
        List<LedgerEffect> effects = new ArrayList<>();
        for (Reservation<A> place : List.copyOf(places.values())) {
            if (condition.test(place)) {
                effects.addAll(cancel(place, nowMillis));
            }
        }
        return effects;
    }

    private List<LedgerEffect> cancel(Reservation<A> place, long nowMillis) {
        switch (place.state) {
            case GRANTED:
                withdraw(place, nowMillis);
                return List.of();
            case CANCELLING:
                return List.of();
            default:
                place.state = State.CANCELLING;
                return List.of(new LedgerEffect.CancelWork(place.attemptId));
        }
    }

    private void withdraw(Reservation<A> place, long nowMillis) {
        place.verdict = Verdict.NOT_RUN;
        end(place, nowMillis);
    }

    private List<LedgerEffect> end(Reservation<A> place, long nowMillis) {
        places.remove(place.attemptId);
        occupancy.release(place.slots, place.pieces);
        ended.add(place.attemptId, place.verdict, place.answer, place.answerBytes, nowMillis);
        return place.outcomeAsked
                ? List.of(new LedgerEffect.OutcomeKnown(place.attemptId))
                : List.of();
    }

    /**
     * Forbids an attempt that has no place and no record; one below the mark is forbidden already.
     */
    private void bury(AttemptId id, Verdict verdict, long nowMillis) {
        if (!ended.mayHaveEnded(id)) {
            ended.add(id, verdict, Optional.empty(), 0, nowMillis);
        }
    }
}
