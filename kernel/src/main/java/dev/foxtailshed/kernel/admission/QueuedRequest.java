package dev.foxtailshed.kernel.admission;

/**
 * A request that waits in a queue, with the properties that determine its order.
 *
 * @param arrival its sequence number of arrival at this instance
 * @param priority the priority of its request class, zero is served first
 * @param patient whether it waits rather than being refused
 * @param holdsReservation whether it holds a reservation in one pool and waits for the second
 * @param startByMillis the latest time at which it can start and still meet its target
 * @param urgentAtMillis the time from which it precedes others to avoid its timeout
 */
public record QueuedRequest(
        long arrival,
        int priority,
        boolean patient,
        boolean holdsReservation,
        long startByMillis,
        long urgentAtMillis) {}
