package dev.foxtailshed.kernel.routing;

/** How far a request has come with its place in one pool. */
public enum ReservationState {
    /** It has no place. */
    NONE,
    /** A backend server was asked for a place. */
    OFFERED,
    /** A place is held for it. */
    GRANTED,
    /** Its work was ordered. */
    RUNNING,
    /** Its prompt was read and the KV cache waits to be handed over. */
    PREFILLED
}
