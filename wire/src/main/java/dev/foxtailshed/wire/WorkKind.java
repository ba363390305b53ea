package dev.foxtailshed.wire;

/** The kinds of work that an entry requests from a sidecar. */
public enum WorkKind {
    /** A call to a plain HTTP service. */
    CALL,
    /** Processing a prompt and exporting its KV cache. */
    PREFILL,
    /** Generating an answer from an imported KV cache. */
    DECODE
}
