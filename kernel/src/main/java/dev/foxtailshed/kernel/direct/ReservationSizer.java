package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;

/**
 * Tells how much of a decode server's KV cache is reserved for a request, and how much must be free
 * when it is.
 *
 * <p>Answers bursts that fill a server with young streams. A server counts what a stream holds now,
 * so room that is free at the reservation is taken by the growth of all streams later; then the
 * newest are preempted and read anew. More is asked for than the request needs, and given back.
 * Immutable and thread-safe.
 */
public final class ReservationSizer {

    /**
     * Factor on the expected output. A request needs little of it until its prompt is read; its
     * later growth is part of the free share.
     */
    private static final double OUTPUT_FACTOR = 0.3;

    /** A stream's output grows evenly, so half of it is held in the mean. */
    private static final double MEAN_PROGRESS = 0.5;

    /**
     * Share of the KV cache that must stay free for the growth of running streams: about half of a
     * usual output for each, less what ends meanwhile.
     */
    private static final double GROWTH_SHARE = 0.06;

    /**
     * Share that late requests leave free: about two requests in time, which arrive before a stream
     * ends.
     */
    private static final double LATE_SHARE = 0.15;

    /**
     * Returns the tokens that are reserved for a request.
     *
     * @param demand what it asks of a model
     * @return prompt and part of the expected output
     */
    public long tokensToReserve(TokenCounts demand) {
        return demand.tokensToReserve(OUTPUT_FACTOR);
    }

    /**
     * Returns the tokens that a request holds in the mean while it streams.
     *
     * @param demand what it asks of a model
     * @return prompt and half of the expected output
     */
    public long meanHeldTokens(TokenCounts demand) {
        return demand.tokensToReserve(MEAN_PROGRESS);
    }

    /**
     * Returns the tokens that must be free beyond the reservation.
     *
     * @param reservedTokens the tokens reserved for the request
     * @param late whether the request has missed its objective
     * @param kvCacheTokens the size of a server's KV cache
     * @return tokens that are asked for and given back; less for a request that nearly fills a
     *     server, so that an empty one takes it
     */
    public long spareTokens(long reservedTokens, boolean late, long kvCacheTokens) {
        long wanted = (long) ((late ? LATE_SHARE : GROWTH_SHARE) * kvCacheTokens);
        return Math.max(0, Math.min(wanted, kvCacheTokens - reservedTokens));
    }
}
