package dev.foxtailshed.kernel.routing;

/** The next step of placing a request to a model. */
public enum PlacementStep {
    /** Offer the request to a decode server. */
    RESERVE_DECODE,
    /** Offer the request to a prefill server. */
    RESERVE_PREFILL,
    /** Commit the prefill. */
    START_PREFILL,
    /** Commit the decode, which transfers the KV cache. */
    START_DECODE,
    /** Wait for the next message. */
    NOTHING
}
