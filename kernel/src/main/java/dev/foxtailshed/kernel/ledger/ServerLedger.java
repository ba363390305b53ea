package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.ledger.EndedAttempts.EndedAttempt;
import dev.foxtailshed.kernel.ledger.Reservation.State;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Accounts for the request slots and KV pieces of one backend server and decides what may run.
 *
 * <p>Example:
 *
 * <pre>{@code
 * ServerLedger<byte[]> ledger = new ServerLedger<>(incarnation, settings);
 * ledger.applyLimits(manifestVersion, slots, pieces);
 * ledger.offer(request, nowMillis);      // Granted
 * ledger.commit(attemptId, nowMillis);   // Run: start the work now
 * ledger.finish(attemptId, Verdict.RAN, Optional.of(answer), answer.length, nowMillis);
 * }</pre>
 *
 * <p>Not thread-safe: confined to one thread. A ledger performs no work itself; it returns what its
 * owner must do. All times are in milliseconds of one monotonic clock.
 *
 * <p><b>Why an attempt runs at most once, and never after a "not run" verdict.</b>
 *
 * <ol>
 *   <li>Work starts only when {@link #commit} returns {@code Run}, which requires a reservation in
 *       state GRANTED and changes that state at once. No transition leads back to GRANTED, so one
 *       grant yields at most one run.
 *   <li>Only {@link #offer} makes a grant, and only for an attempt that has no reservation, has no
 *       record as ended, and whose sequence number is above the high-water mark of evicted records
 *       of its entry. Each reservation ends as such a record, and a record is evicted only by
 *       raising that mark to its sequence number; marks never decrease. So an attempt gets at most
 *       one grant. An attempt that was never offered but lies below the mark is refused too, which
 *       is safe.
 *   <li>"Not run" is answered only for an attempt that has no reservation and has a "not run"
 *       record, or gets one with that answer. By 2 it gets no further grant, and by 1 it cannot run
 *       without one. Every refusal, expired grant and revoked grant leaves such a record.
 *   <li>If an attempt has no record, but the record of an attempt that ran may have been evicted,
 *       the answer is "may have run". The same holds for a commit or a cancellation without any
 *       record, because its grant may come from an earlier incarnation.
 * </ol>
 *
 * <p>This requires that an entry uses an attempt id with only one incarnation of one sidecar. After
 * a restart of the sidecar it queries the outcome with the previous incarnation and makes new
 * offers under a new id.
 *
 * @param <A> the type of stored answers
 */
public final class ServerLedger<A> {

    private final long incarnation;
    private final LedgerSettings settings;
    private final EndedAttempts<A> ended;
    private final Map<AttemptId, Reservation<A>> reservations = new LinkedHashMap<>();
    private final Leases leases;
    private final Occupancy occupancy = new Occupancy();
    private final AdmissionControl admission;

    /**
     * Creates an empty ledger, which refuses all offers until limits are applied.
     *
     * @param incarnation the random number that identifies this start of the sidecar
     * @param settings the timeouts and bounds
     */
    public ServerLedger(long incarnation, LedgerSettings settings) {
        this.incarnation = incarnation;
        this.settings = Objects.requireNonNull(settings, "settings");
        this.admission = new AdmissionControl(occupancy, settings);
        this.leases = new Leases(settings.leaseMillis());
        this.ended = new EndedAttempts<>(settings);
    }

    /**
     * Applies the limits of a newer manifest; an older or equal version changes nothing. Work that
     * exceeds lowered limits keeps running, and nothing is granted until use is below them.
     *
     * @param version the manifest version
     * @param slots the number of request slots
     * @param pieces the number of KV pieces
     * @return whether the limits were applied
     */
    public boolean applyLimits(long version, int slots, int pieces) {
        return admission.applyLimits(version, slots, pieces);
    }

    /**
     * Decides on an offer and renews the lease of its entry.
     *
     * @param request the offered attempt and what it needs
     * @param nowMillis the current time
     * @return the decision
     */
    public OfferDecision offer(ReservationRequest request, long nowMillis) {
        AttemptId id = request.attemptId();
        renewLease(id.entryIncarnation(), nowMillis);
        Reservation<A> reservation = reservations.get(id);
        if (reservation != null) {
            return repeatOffer(reservation, nowMillis);
        }
        Optional<EndedAttempt<A>> record = ended.find(id);
        if (record.isPresent()) {
            return record.get().verdict == Verdict.RAN
                    ? new OfferDecision.AlreadyCommitted()
                    : new OfferDecision.Refused(timeoutFailure(record.get().verdict));
        }
        if (ended.mayHaveEnded(id)) {
            return new OfferDecision.Refused(evictedFailure(id));
        }
        Optional<RequestFailure> refusal = admission.findRefusal(request);
        if (refusal.isPresent()) {
            addTombstone(id, Verdict.NOT_RUN, nowMillis);
            return new OfferDecision.Refused(refusal.get());
        }
        long expiresInMillis = admission.expiresInMillis(request);
        occupancy.acquire(1, request.pieces());
        reservations.put(id, new Reservation<>(request, nowMillis + expiresInMillis));
        return new OfferDecision.Granted(expiresInMillis);
    }

    /**
     * Decides on a commit and renews the lease of the attempt's entry.
     *
     * @param id the id of the attempt
     * @param nowMillis the current time
     * @return the decision; {@code Run} at most once for an attempt
     */
    public CommitDecision commit(AttemptId id, long nowMillis) {
        renewLease(id.entryIncarnation(), nowMillis);
        Reservation<A> reservation = reservations.get(id);
        if (reservation != null && reservation.state == State.GRANTED) {
            if (reservation.isPastDeadline(nowMillis)) {
                revokeGrant(reservation, nowMillis);
                return new CommitDecision.Refused(timeoutFailure(Verdict.NOT_RUN));
            }
            reservation.state = State.RUNNING;
            return new CommitDecision.Run();
        }
        if (reservation != null) {
            return new CommitDecision.AlreadyCommitted();
        }
        Optional<EndedAttempt<A>> record = ended.find(id);
        if (record.isEmpty()) {
            return new CommitDecision.Refused(refuseWithoutRecord(id, nowMillis));
        }
        return record.get().verdict == Verdict.RAN
                ? new CommitDecision.AlreadyCommitted()
                : new CommitDecision.Refused(timeoutFailure(record.get().verdict));
    }

    /**
     * Records that a prefill finished: its slot is released and its pieces stay held as an export.
     *
     * @param id the id of the attempt
     * @param nowMillis the current time
     * @return whether the export can be used; false if the attempt was cancelled meanwhile
     */
    public boolean recordExport(AttemptId id, long nowMillis) {
        Reservation<A> reservation = reservations.get(id);
        if (reservation == null || reservation.state != State.RUNNING) {
            return false;
        }
        // An export only occupies memory and takes no part in the engine's batches.
        occupancy.release(reservation.slots, 0);
        reservation.slots = 0;
        reservation.state = State.EXPORTED;
        reservation.deadlineMillis = nowMillis + settings.exportTimeoutMillis();
        return true;
    }

    /**
     * Records that the work of a committed attempt ended at the backend server. If a cancellation
     * is in progress, the reservation is kept until {@link #confirmCancellation}.
     *
     * @param id the id of the attempt
     * @param verdict whether it may have run
     * @param answer the complete answer, which is kept for queries within the configured bounds
     * @param answerBytes the size of that answer
     * @param nowMillis the current time
     * @return what the owner must do
     */
    public List<LedgerEffect> finish(
            AttemptId id, Verdict verdict, Optional<A> answer, long answerBytes, long nowMillis) {
        Reservation<A> reservation = reservations.get(id);
        if (reservation == null || reservation.state == State.GRANTED) {
            return List.of();
        }
        reservation.verdict = verdict;
        reservation.answer = answer;
        reservation.answerBytes = answerBytes;
        return reservation.state == State.CANCELLING ? List.of() : end(reservation, nowMillis);
    }

    /**
     * Records that the backend server confirmed a cancellation and holds nothing more of the
     * attempt.
     *
     * @param id the id of the attempt
     * @param nowMillis the current time
     * @return what the owner must do
     */
    public List<LedgerEffect> confirmCancellation(AttemptId id, long nowMillis) {
        Reservation<A> reservation = reservations.get(id);
        if (reservation == null || reservation.state != State.CANCELLING) {
            return List.of();
        }
        return end(reservation, nowMillis);
    }

    /**
     * Cancels an attempt in any state. An attempt that was never offered can never run from then
     * on.
     *
     * @param id the id of the attempt
     * @param nowMillis the current time
     * @return what the owner must do
     */
    public List<LedgerEffect> cancel(AttemptId id, long nowMillis) {
        Reservation<A> reservation = reservations.get(id);
        if (reservation != null) {
            return cancel(reservation, nowMillis);
        }
        if (ended.find(id).isEmpty()) {
            addTombstone(id, Verdict.MAY_HAVE_RUN, nowMillis);
        }
        return List.of();
    }

    /**
     * Returns the proved outcome of an attempt. One that was not committed can never run from then
     * on.
     *
     * @param id the id of the attempt
     * @param targetIncarnation the sidecar incarnation that the commit was sent to
     * @param nowMillis the current time
     * @return the decision
     */
    public QueryDecision<A> query(AttemptId id, long targetIncarnation, long nowMillis) {
        if (targetIncarnation != incarnation) {
            return new QueryDecision.Known<>(Verdict.MAY_HAVE_RUN, Optional.empty());
        }
        Reservation<A> reservation = reservations.get(id);
        if (reservation != null && reservation.state != State.GRANTED) {
            reservation.outcomeQueried = true;
            return new QueryDecision.Running<>();
        }
        if (reservation != null) {
            revokeGrant(reservation, nowMillis);
        }
        Optional<EndedAttempt<A>> record = ended.find(id);
        if (record.isPresent()) {
            return new QueryDecision.Known<>(record.get().verdict, record.get().answer);
        }
        boolean mayHaveRun = ended.mayHaveRun(id);
        Verdict verdict = mayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        addTombstone(id, verdict, nowMillis);
        return new QueryDecision.Known<>(verdict, Optional.empty());
    }

    /**
     * Renews the lease of an entry.
     *
     * @param entryIncarnation the incarnation of the entry
     * @param nowMillis the current time
     */
    public void renewLease(long entryIncarnation, long nowMillis) {
        leases.renew(entryIncarnation, nowMillis);
    }

    /**
     * Records that a connection of an entry was lost. Running prefill and decode attempts that were
     * committed on it are cancelled, because their answers can no longer be delivered; grants,
     * exports and calls are kept until the lease of the entry expires.
     *
     * @param entryIncarnation the incarnation of the entry
     * @param committedOnConnection returns whether an attempt was committed on that connection
     * @param nowMillis the current time
     * @return what the owner must do
     */
    public List<LedgerEffect> handleConnectionLoss(
            long entryIncarnation, Predicate<AttemptId> committedOnConnection, long nowMillis) {
        return cancelWhere(
                reservation ->
                        reservation.belongsTo(entryIncarnation)
                                && reservation.state == State.RUNNING
                                && reservation.kind != AttemptKind.CALL
                                && committedOnConnection.test(reservation.attemptId),
                nowMillis);
    }

    /**
     * Cancels all attempts of an entry except running calls, whose outcome can still be queried.
     *
     * @param entryIncarnation the incarnation of the entry
     * @param nowMillis the current time
     * @return what the owner must do
     */
    public List<LedgerEffect> releaseEntry(long entryIncarnation, long nowMillis) {
        leases.remove(entryIncarnation);
        return cancelWhere(
                reservation ->
                        reservation.belongsTo(entryIncarnation)
                                && (reservation.kind != AttemptKind.CALL
                                        || reservation.state == State.GRANTED),
                nowMillis);
    }

    /**
     * Ends leases, grants and exports that are past their deadlines and evicts old records.
     *
     * @param nowMillis the current time
     * @return what the owner must do
     */
    public List<LedgerEffect> tick(long nowMillis) {
        List<LedgerEffect> effects = new ArrayList<>();
        for (Reservation<A> reservation : List.copyOf(reservations.values())) {
            if (reservation.isPastDeadline(nowMillis)) {
                if (reservation.state == State.GRANTED) {
                    effects.add(new LedgerEffect.GrantExpired(reservation.attemptId));
                }
                effects.addAll(cancel(reservation, nowMillis));
            }
        }
        for (long entryIncarnation : leases.removeExpired(nowMillis)) {
            effects.add(new LedgerEffect.LeaseExpired(entryIncarnation));
            effects.addAll(releaseEntry(entryIncarnation, nowMillis));
        }
        ended.prune(nowMillis);
        return effects;
    }

    /**
     * Refuses new offers from now on. Grants may still be committed, and running work continues.
     */
    public void drain() {
        admission.drain();
    }

    /**
     * Sets whether the backend server is unreachable. While it is, new offers are refused and no
     * capacity is reported as free, so that a server that is down does not look idle.
     *
     * @param unreachable whether it is unreachable
     */
    public void setSuspended(boolean unreachable) {
        admission.setSuspended(unreachable);
    }

    /**
     * Returns the current state.
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
                reservations.values().stream().mapToLong(Reservation::queuedTokens).sum(),
                reservations.size(),
                ended.size());
    }

    /**
     * Returns whether an attempt is committed and has not ended.
     *
     * @param id the id of the attempt
     * @return true if the attempt may hold resources at the backend server
     */
    public boolean isActiveAtBackend(AttemptId id) {
        Reservation<A> reservation = reservations.get(id);
        return reservation != null && reservation.state != State.GRANTED;
    }

    /**
     * Checks that the used slots and pieces are the sums over all reservations.
     *
     * @throws IllegalStateException if they are not
     */
    public void checkInvariants() {
        int slots = 0;
        int pieces = 0;
        for (Reservation<A> reservation : reservations.values()) {
            slots += reservation.slots;
            pieces += reservation.pieces;
        }
        occupancy.check(slots, pieces);
    }

    private OfferDecision repeatOffer(Reservation<A> reservation, long nowMillis) {
        if (reservation.state != State.GRANTED) {
            return new OfferDecision.AlreadyCommitted();
        }
        if (reservation.isPastDeadline(nowMillis)) {
            revokeGrant(reservation, nowMillis);
            return new OfferDecision.Refused(timeoutFailure(Verdict.NOT_RUN));
        }
        return new OfferDecision.Granted(reservation.deadlineMillis - nowMillis);
    }

    private static RequestFailure timeoutFailure(Verdict verdict) {
        return RequestFailure.of(
                verdict, ErrorCode.TIMEOUT, "the grant expired or the attempt has ended");
    }

    private RequestFailure evictedFailure(AttemptId id) {
        Verdict verdict = ended.mayHaveRun(id) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        return RequestFailure.of(
                verdict,
                ErrorCode.TIMEOUT,
                "the attempt is older than the records that are still kept");
    }

    /** An attempt without any record may have run at an earlier incarnation. */
    private RequestFailure refuseWithoutRecord(AttemptId id, long nowMillis) {
        addTombstone(id, Verdict.MAY_HAVE_RUN, nowMillis);
        return RequestFailure.of(
                Verdict.MAY_HAVE_RUN,
                ErrorCode.OUTCOME_UNKNOWN,
                "the sidecar has no record of a grant for the attempt");
    }

    private List<LedgerEffect> cancelWhere(Predicate<Reservation<A>> condition, long nowMillis) {
        List<LedgerEffect> effects = new ArrayList<>();
        for (Reservation<A> reservation : List.copyOf(reservations.values())) {
            if (condition.test(reservation)) {
                effects.addAll(cancel(reservation, nowMillis));
            }
        }
        return effects;
    }

    private List<LedgerEffect> cancel(Reservation<A> reservation, long nowMillis) {
        switch (reservation.state) {
            case GRANTED:
                revokeGrant(reservation, nowMillis);
                return List.of();
            case CANCELLING:
                return List.of();
            default:
                reservation.state = State.CANCELLING;
                return List.of(new LedgerEffect.CancelWork(reservation.attemptId));
        }
    }

    private void revokeGrant(Reservation<A> reservation, long nowMillis) {
        reservation.verdict = Verdict.NOT_RUN;
        end(reservation, nowMillis);
    }

    private List<LedgerEffect> end(Reservation<A> reservation, long nowMillis) {
        reservations.remove(reservation.attemptId);
        occupancy.release(reservation.slots, reservation.pieces);
        ended.add(
                reservation.attemptId,
                reservation.verdict,
                reservation.answer,
                reservation.answerBytes,
                nowMillis);
        return reservation.outcomeQueried
                ? List.of(new LedgerEffect.OutcomeKnown(reservation.attemptId))
                : List.of();
    }

    /**
     * Records an attempt without reservation or record as ended, so that it can never run. One
     * below the high-water mark needs no record: it is refused anyway.
     */
    private void addTombstone(AttemptId id, Verdict verdict, long nowMillis) {
        if (!ended.mayHaveEnded(id)) {
            ended.add(id, verdict, Optional.empty(), 0, nowMillis);
        }
    }
}
