package dev.foxtailshed.kernel.ledger;

/** The kinds of attempts, as far as the ledger treats them differently. */
public enum AttemptKind {
    /**
     * A call to a plain service. It keeps running when its entry is lost, so that its outcome can
     * still be queried.
     */
    CALL,
    /** Prefill of a prompt. Its KV pieces stay held as an export afterwards. */
    PREFILL,
    /** Decode of an answer. Its grant is held until the time at which it is needed. */
    DECODE
}
