package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.routing.ReservationState;
import java.util.Optional;

/** The reservation of a request in one pool and its state. Not thread-safe. */
final class PoolReservation {

    private Optional<Attempt> attempt = Optional.empty();
    private ReservationState state = ReservationState.NONE;
    private long reservedLinkBytes;

    /**
     * Starts the reservation with an offer.
     *
     * @param newAttempt the attempt that makes the offer
     * @param newReservedLinkBytes the bytes reserved on the server's transfer link until the work
     *     starts
     */
    void startOffer(Attempt newAttempt, long newReservedLinkBytes) {
        attempt = Optional.of(newAttempt);
        state = ReservationState.OFFERED;
        reservedLinkBytes = newReservedLinkBytes;
        newAttempt.connection().transferLink().reserve(reservedLinkBytes);
    }

    void setState(ReservationState newState) {
        state = newState;
        if (newState == ReservationState.RUNNING) {
            releaseTransferLink();
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

    /** Clears the reservation after its attempt has ended. */
    void clear() {
        releaseTransferLink();
        attempt = Optional.empty();
        state = ReservationState.NONE;
    }

    private void releaseTransferLink() {
        attempt.ifPresent(open -> open.connection().transferLink().release(reservedLinkBytes));
        reservedLinkBytes = 0;
    }

    /** Cancels the attempt at its sidecar and clears the reservation. */
    void release() {
        attempt.ifPresent(Attempt::cancel);
        clear();
    }
}
