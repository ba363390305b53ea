package dev.foxtailshed.kernel.manifest;

/**
 * A set of identical backend servers. All sizes are for one server.
 *
 * @param name the name of the pool
 * @param kind the kind of work of its servers
 * @param requestSlots the number of requests that one server runs concurrently
 * @param kvPieces the number of KV pieces, zero for plain pools
 * @param tokensPerPiece the capacity of a KV piece in tokens, zero for plain pools
 * @param kvBytesPerToken the size of a token in the KV cache, zero for plain pools
 * @param linkBytesPerSecond the rate of the transfer link, zero for plain pools
 * @param prefillTokensPerSecond the prefill speed, zero unless the pool is a prefill pool
 */
public record Pool(
        String name,
        PoolKind kind,
        int requestSlots,
        int kvPieces,
        int tokensPerPiece,
        long kvBytesPerToken,
        long linkBytesPerSecond,
        long prefillTokensPerSecond) {

    /**
     * Returns the capacity of one server's KV pieces.
     *
     * @return the number of tokens, zero for plain pools
     */
    public long capacityTokens() {
        return (long) kvPieces * tokensPerPiece;
    }
}
