package dev.foxtailshed.cli.internal;

/** The exit codes of the tool. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command ran, but the condition that it checks does not hold. */
    CHECK_FAILED(1),
    /** Invalid arguments, a rejected key or an invalid manifest. */
    BAD_USE(2),
    /** Another manifest was accepted first. */
    CONFLICT(3),
    /** No entry, or no entry with access to the store, was reachable; nothing was changed. */
    NOT_REACHABLE(4),
    /** The change may or may not have taken effect. */
    OUTCOME_UNKNOWN(5);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the number, 0 to 5
     */
    public int number() {
        return number;
    }
}
