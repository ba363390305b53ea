package dev.foxtailshed.kernel.direct;

/**
 * What a service's model servers can hold and do.
 *
 * @param slots how many requests one server runs at once
 * @param kvCacheTokens how many tokens one server's KV cache holds
 * @param handleTtlMillis how long a prefilled KV cache is kept for its decode server
 * @param stageSwitchMillis how long a server is away when its stage changes
 * @param reservationLimitMillis the longest reservation of decode capacity
 * @param moves whether a running request can be moved to another server
 */
public record EngineSpec(
        int slots,
        long kvCacheTokens,
        long handleTtlMillis,
        long stageSwitchMillis,
        long reservationLimitMillis,
        boolean moves) {}
