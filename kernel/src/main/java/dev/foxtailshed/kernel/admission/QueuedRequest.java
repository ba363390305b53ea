package dev.foxtailshed.kernel.admission;

/**
 * What a queue knows of a request that waits.
 *
 * @param arrival the number of its arrival at this instance
 * @param priority of its class, zero goes first
 * @param patient whether it waits rather than being refused
 * @param holdsReservation whether it holds a place at one server and waits for the second
 * @param startByMillis the latest time at which it can start and still meet its target
 * @param urgentAtMillis the time from which it goes first, so that it is not lost to its timeout
 */
public record QueuedRequest(
        long arrival,
        int priority,
        boolean patient,
        boolean holdsReservation,
        long startByMillis,
        long urgentAtMillis) {}
