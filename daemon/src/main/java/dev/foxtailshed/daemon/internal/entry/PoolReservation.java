package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.routing.ReservationState;
import java.util.Optional;

/** The place of a request in one pool and how far it has come. Not thread-safe. */
final class PoolReservation {

    private Optional<Attempt> attempt = Optional.empty();
    private ReservationState state = ReservationState.NONE;
    private long linkBytes;

    /**
     * Begins with an offer.
     *
     * @param newAttempt the attempt
     * @param reservedBytes what the attempt reserves of the server's transfer link until its work
     *     is ordered
     */
    void offered(Attempt newAttempt, long reservedBytes) {
        attempt = Optional.of(newAttempt);
        state = ReservationState.OFFERED;
        linkBytes = reservedBytes;
        newAttempt.link().transferLink().reserve(linkBytes);
    }

    void move(ReservationState newState) {
        state = newState;
        if (newState == ReservationState.RUNNING) {
            freeLink();
        }
    }

    ReservationState state() {
        return state;
    }

    Optional<Attempt> attempt() {
        return attempt;
    }

    boolean isOf(Attempt other) {
        return attempt.filter(open -> open == other).isPresent();
    }

    /** Forgets an attempt that has ended. */
    void clear() {
        freeLink();
        attempt = Optional.empty();
        state = ReservationState.NONE;
    }

    private void freeLink() {
        attempt.ifPresent(open -> open.link().transferLink().release(linkBytes));
        linkBytes = 0;
    }

    /** Ends the attempt and frees what it holds at its sidecar. */
    void release() {
        attempt.ifPresent(Attempt::cancel);
        clear();
    }
}
