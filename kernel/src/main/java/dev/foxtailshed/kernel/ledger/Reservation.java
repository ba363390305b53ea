package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.Verdict;
import java.util.Optional;

/** The request slot and KV pieces held by one attempt that has not ended. */
final class Reservation<A> {

    /** The states of an attempt that has not ended. */
    enum State {
        GRANTED,
        RUNNING,
        EXPORTED,
        CANCELLING
    }

    final AttemptId attemptId;
    final AttemptKind kind;
    final int pieces;
    final long promptTokens;
    State state = State.GRANTED;
    int slots = 1;
    long deadlineMillis;
    boolean outcomeQueried;
    Verdict verdict = Verdict.MAY_HAVE_RUN;
    Optional<A> answer = Optional.empty();
    long answerBytes;

    Reservation(ReservationRequest request, long deadlineMillis) {
        this.attemptId = request.attemptId();
        this.kind = request.kind();
        this.pieces = request.pieces();
        this.promptTokens = request.promptTokens();
        this.deadlineMillis = deadlineMillis;
    }

    boolean isPastDeadline(long nowMillis) {
        boolean hasDeadline = state == State.GRANTED || state == State.EXPORTED;
        return hasDeadline && nowMillis >= deadlineMillis;
    }

    long queuedTokens() {
        boolean prefilling = kind == AttemptKind.PREFILL && state == State.RUNNING;
        return prefilling ? promptTokens : 0;
    }

    boolean belongsTo(long entryIncarnation) {
        return attemptId.entryIncarnation() == entryIncarnation;
    }
}
