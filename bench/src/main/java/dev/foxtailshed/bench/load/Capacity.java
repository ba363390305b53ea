package dev.foxtailshed.bench.load;

import java.util.function.ToDoubleFunction;

/**
 * The maximum throughput of the scaled-down engines, computed from their settings and a request
 * mix.
 *
 * <p>This is an upper bound that no scheduler can exceed in steady state: every shared prefix
 * counts as cached, every slot as occupied and no reservation as held while unused.
 *
 * @param prefillRequestsPerSecond the maximum rate of model requests at the prefill servers
 * @param decodeRequestsPerSecond the maximum rate of model requests at the decode servers
 */
record Capacity(double prefillRequestsPerSecond, double decodeRequestsPerSecond) {

    static final int PREFILL_SERVERS = 3;
    static final int DECODE_SERVERS = 3;
    static final int DECODE_SLOTS = 20;
    static final int PREFILL_TOKENS_PER_SECOND = 3_000;
    static final int TOKEN_MILLIS = 25;
    static final int LINK_BYTES_PER_SECOND = 12_000_000;
    static final int KV_BYTES_PER_TOKEN = 1_000;
    private static final double SLOWDOWN_PER_REQUEST = 0.01;
    private static final double MILLIS_PER_SECOND = 1_000;

    static Capacity of(RequestMix mix) {
        double uncachedPromptTokens = mean(mix, RequestMix.Component::meanUncachedPromptTokens);
        double stepMillis = TOKEN_MILLIS * (1 + SLOWDOWN_PER_REQUEST * (DECODE_SLOTS - 1));
        double transferMillis =
                mean(mix, RequestMix.Component::meanPromptTokens)
                        * KV_BYTES_PER_TOKEN
                        * MILLIS_PER_SECOND
                        / LINK_BYTES_PER_SECOND;
        double slotMillis =
                mean(mix, RequestMix.Component::meanOutputTokens) * stepMillis + transferMillis;
        return new Capacity(
                PREFILL_SERVERS * PREFILL_TOKENS_PER_SECOND / uncachedPromptTokens,
                DECODE_SERVERS * DECODE_SLOTS * MILLIS_PER_SECOND / slotMillis);
    }

    double modelRequestsPerSecond() {
        return Math.min(prefillRequestsPerSecond, decodeRequestsPerSecond);
    }

    private static double mean(RequestMix mix, ToDoubleFunction<RequestMix.Component> value) {
        return mix.components().stream()
                .mapToDouble(component -> component.fraction() * value.applyAsDouble(component))
                .sum();
    }
}
