package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.Verdict;
import java.util.Optional;

/** A slot and pieces held by one live attempt. */
final class Reservation<A> {

    /** The states of a live attempt. */
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
    long dueMillis;
    boolean outcomeAsked;
    Verdict verdict = Verdict.MAY_HAVE_RUN;
    Optional<A> answer = Optional.empty();
    long answerBytes;

    Reservation(ReservationRequest request, long dueMillis) {
        this.attemptId = request.attemptId();
        this.kind = request.kind();
        this.pieces = request.pieces();
        this.promptTokens = request.promptTokens();
        this.dueMillis = dueMillis;
    }

    boolean isDue(long nowMillis) {
        boolean timed = state == State.GRANTED || state == State.EXPORTED;
        return timed && nowMillis >= dueMillis;
    }

    long queuedTokens() {
        boolean reading = kind == AttemptKind.PREFILL && state == State.RUNNING;
        return reading ? promptTokens : 0;
    }

    boolean belongsTo(long entryIncarnation) {
        return attemptId.entryIncarnation() == entryIncarnation;
    }
}
