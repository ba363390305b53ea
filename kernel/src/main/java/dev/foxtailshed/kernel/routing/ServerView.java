package dev.foxtailshed.kernel.routing;

/**
 * The last state of a backend server that was reported to an entry.
 *
 * @param name the name of the server
 * @param zone the availability zone of the server
 * @param available whether it is connected and accepts new work
 * @param freeSlots the free request slots of its last report, less the offers sent since
 * @param freePieces the free KV pieces of its last report, less the offers sent since
 * @param queuedTokens the prompt tokens of committed prefill attempts that have not finished
 * @param linkBacklogBytes the bytes queued for or reserved on its transfer link
 * @param linkSlowdown the estimated factor by which the link is slower than its rate
 */
public record ServerView(
        String name,
        String zone,
        boolean available,
        int freeSlots,
        int freePieces,
        long queuedTokens,
        long linkBacklogBytes,
        double linkSlowdown) {}
