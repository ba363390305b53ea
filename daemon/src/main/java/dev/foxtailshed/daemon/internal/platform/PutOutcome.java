package dev.foxtailshed.daemon.internal.platform;

/** The outcome of a conditional write for which the platform returned a response. */
public sealed interface PutOutcome {

    /**
     * The write took effect.
     *
     * @param version the new version
     */
    record Stored(long version) implements PutOutcome {}

    /** The version was not the expected one; nothing was changed. */
    record Conflict() implements PutOutcome {}
}
