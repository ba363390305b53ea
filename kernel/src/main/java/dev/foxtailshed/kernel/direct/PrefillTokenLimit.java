package dev.foxtailshed.kernel.direct;

/**
 * Tells how many tokens one entry may have under way at one prefill server.
 *
 * <p>All entries together keep a server busy for at most a share of the latency objective, so that
 * a prompt which is sent there can still be in time. Immutable and thread-safe.
 */
public final class PrefillTokenLimit {

    /**
     * Share of the objective that prompts may wait at a server; the rest is for the first event.
     */
    private static final double QUEUE_SHARE = 0.5;

    /**
     * Returns the limit.
     *
     * @param objectiveMillis the time to the first event that is aimed at
     * @param millisPerToken how long a server reads a token
     * @param entries how many entries send prompts
     * @return tokens under way; a single prompt may exceed it
     */
    public long tokensPerServer(long objectiveMillis, double millisPerToken, int entries) {
        return (long) (QUEUE_SHARE * objectiveMillis / millisPerToken / Math.max(1, entries));
    }
}
