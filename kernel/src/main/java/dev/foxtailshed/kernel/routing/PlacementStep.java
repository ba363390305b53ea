package dev.foxtailshed.kernel.routing;

/** What is to be done next for a request to a model. */
public enum PlacementStep {
    /** Ask for a place in the decode pool. */
    RESERVE_DECODE,
    /** Ask for a place in the prefill pool. */
    RESERVE_PREFILL,
    /** Order the prompt to be read. */
    START_PREFILL,
    /** Hand the KV cache over and order the answer. */
    START_DECODE,
    /** Nothing until a message arrives. */
    NOTHING
}
