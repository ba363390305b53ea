package dev.foxtailshed.kernel.routing;

/** The state of a request's reservation in one pool. */
public enum ReservationState {
    /** Nothing is offered or held. */
    NONE,
    /** An offer was sent to a backend server. */
    OFFERED,
    /** The backend server holds a slot and KV pieces. */
    GRANTED,
    /** The attempt was committed. */
    RUNNING,
    /** The prefill has finished and the KV cache is ready to be transferred. */
    PREFILLED
}
