package dev.foxtailshed.kernel.record;

/**
 * A finding of an audit of the record.
 *
 * @param kind the kind of the finding
 * @param subject the label of the chain, request or attempt
 * @param text a human-readable description
 */
public record RecordFinding(Kind kind, String subject, String text) {

    /** The kinds of findings, the most severe first. */
    public enum Kind {
        /** The records of entry and sidecar contradict each other. */
        DISAGREEMENT,
        /** A stored batch cannot be read or does not match the digest in its successor. */
        BROKEN_LINK,
        /** A batch or a record is missing. */
        GAP,
        /** A record is missing, but its writer may not have stored it yet. */
        PENDING
    }
}
