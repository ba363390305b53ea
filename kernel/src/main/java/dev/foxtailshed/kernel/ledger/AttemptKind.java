package dev.foxtailshed.kernel.ledger;

/** Kinds of work, as far as the ledger treats them differently. */
public enum AttemptKind {
    /**
     * A call to a plain service; it runs on when its entry is lost, so its outcome can be asked.
     */
    CALL,
    /** Reading a prompt; its KV pieces stay held as an export afterwards. */
    PREFILL,
    /** Writing an answer; its grant is kept until the time at which the place is needed. */
    DECODE
}
