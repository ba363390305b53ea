package dev.foxtailshed.kernel.direct;

/**
 * Capacity and timing of a service's model servers.
 *
 * @param slots the number of requests that one server runs concurrently
 * @param kvCacheTokens the capacity of one server's KV cache in tokens
 * @param handleTtlMillis how long a prefilled KV cache is kept for its decode server
 * @param stageSwitchMillis how long a server is unavailable while its stage changes
 * @param reservationLimitMillis the maximum duration of a reservation of decode capacity
 * @param canMoveRequests whether a running request can be moved to another server
 */
public record EngineSpec(
        int slots,
        long kvCacheTokens,
        long handleTtlMillis,
        long stageSwitchMillis,
        long reservationLimitMillis,
        boolean canMoveRequests) {}
