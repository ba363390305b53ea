package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;

/**
 * Computes how much of a decode server's KV cache is reserved for a request, and how much must be
 * free beyond that.
 *
 * <p>A server counts only what each stream holds at the moment. In a burst, a server fills with new
 * streams, and as all of them grow they use up the space that was free when the reservations were
 * granted; the newest streams are then preempted and their prompts processed again. A reservation
 * is therefore requested for more than its request needs, and the excess is released. Immutable and
 * thread-safe.
 */
public final class ReservationSizer {

    /**
     * Factor on the expected output. A request needs little of its output space until its prompt
     * has been processed; its later growth is covered by the free share.
     */
    private static final double OUTPUT_FACTOR = 0.3;

    /** A stream's output grows evenly, so on average half of it is held. */
    private static final double MEAN_PROGRESS = 0.5;

    /**
     * Share of the KV cache that must stay free for the growth of running streams: about half of a
     * typical output per stream, less the space of streams that end meanwhile.
     */
    private static final double GROWTH_SHARE = 0.06;

    /**
     * Share that late requests must leave free: space for about two in-time requests that may
     * arrive before a stream ends.
     */
    private static final double LATE_SHARE = 0.15;

    /**
     * Returns the tokens to reserve for a request.
     *
     * @param counts the token counts of the request
     * @return the prompt and part of the expected output
     */
    public long tokensToReserve(TokenCounts counts) {
        return counts.tokensToReserve(OUTPUT_FACTOR);
    }

    /**
     * Returns the mean number of tokens that a request holds while it streams.
     *
     * @param counts the token counts of the request
     * @return the prompt and half of the expected output
     */
    public long meanHeldTokens(TokenCounts counts) {
        return counts.tokensToReserve(MEAN_PROGRESS);
    }

    /**
     * Returns the tokens that must be free beyond the reservation.
     *
     * @param reservedTokens the tokens reserved for the request
     * @param late whether the request has missed its latency objective
     * @param kvCacheTokens the capacity of a server's KV cache
     * @return the tokens that are requested in addition and then released; less for a request that
     *     nearly fills a server, so that an empty server accepts it
     */
    public long spareTokens(long reservedTokens, boolean late, long kvCacheTokens) {
        long wantedTokens = (long) ((late ? LATE_SHARE : GROWTH_SHARE) * kvCacheTokens);
        return Math.max(0, Math.min(wantedTokens, kvCacheTokens - reservedTokens));
    }
}
