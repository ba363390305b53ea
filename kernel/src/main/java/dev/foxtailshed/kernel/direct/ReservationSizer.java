package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;

/**
 * Computes how much of a decode server's KV cache is reserved for a request, and how much must be
 * free beyond that.
 *
 * <p>A server counts only what each stream holds at the moment. In a burst, a server fills with new
 * streams, and as all of them grow they use up the space that was free when the reservations were
 * granted; the newest streams are then preempted and their prompts processed again. A reservation
 * is therefore requested for more than its request needs, and the excess is released.
 *
 * <p>Between the ends of two streams, the streams of a full server grow together by the output of
 * about one stream, whatever the size of the server. The space kept free is therefore a multiple of
 * the mean output rather than a share of the KV cache. Thread-safe if the estimator is.
 */
public final class ReservationSizer {

    /**
     * Factor on the expected output. A request needs little of its output space until its prompt
     * has been processed; its later growth is covered by the free space.
     */
    private static final double OUTPUT_FACTOR = 0.3;

    /**
     * Mean outputs that must stay free for the growth of running streams; the times between two
     * ends vary, up to about three times their mean.
     */
    private static final double GROWTH_OUTPUTS = 3;

    /**
     * Largest share of the KV cache that is kept free for growth, so that servers with room for few
     * streams are used too.
     */
    private static final double MAXIMUM_GROWTH_SHARE = 0.25;

    private final RequestSizeEstimator sizes;

    /**
     * Creates a sizer.
     *
     * @param sizes the mean sizes of the service's requests
     */
    public ReservationSizer(RequestSizeEstimator sizes) {
        this.sizes = sizes;
    }

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
     * Returns the tokens that must be free beyond the reservation.
     *
     * <p>A late request must also leave room for the prompt of a request that can still be in time,
     * which may arrive before a stream ends.
     *
     * @param reservedTokens the tokens reserved for the request
     * @param late whether the request has missed its latency objective
     * @param kvCacheTokens the capacity of a server's KV cache
     * @return the tokens that are requested in addition and then released; less for a request that
     *     nearly fills a server, so that an empty server accepts it
     */
    public long spareTokens(long reservedTokens, boolean late, long kvCacheTokens) {
        double growthTokens =
                Math.min(
                        GROWTH_OUTPUTS * sizes.meanOutputTokens(),
                        MAXIMUM_GROWTH_SHARE * kvCacheTokens);
        long wantedTokens = (long) (growthTokens + (late ? sizes.meanPromptTokens() : 0));
        return Math.max(0, Math.min(wantedTokens, kvCacheTokens - reservedTokens));
    }
}
