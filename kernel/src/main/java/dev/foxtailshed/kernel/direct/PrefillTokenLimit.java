package dev.foxtailshed.kernel.direct;

/**
 * Computes how many tokens one entry may have in flight at one prefill server.
 *
 * <p>All entries together keep a server busy for at most a share of the latency objective, so that
 * a prompt sent there can still meet the objective. Immutable and thread-safe.
 */
public final class PrefillTokenLimit {

    /**
     * Share of the objective that prompts may wait at a server; the rest is for the first event.
     */
    private static final double QUEUE_SHARE = 0.5;

    /**
     * Returns the limit for one entry and one server.
     *
     * @param objectiveMillis the objective for the time to the first event
     * @param millisPerToken the prefill time per token
     * @param entries the number of entries that send prompts
     * @return the maximum number of tokens in flight; a single prompt may exceed it
     */
    public long tokensPerServer(long objectiveMillis, double millisPerToken, int entries) {
        return (long) (QUEUE_SHARE * objectiveMillis / millisPerToken / Math.max(1, entries));
    }
}
