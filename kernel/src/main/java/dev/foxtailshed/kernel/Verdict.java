package dev.foxtailshed.kernel;

/**
 * The evidence whether a request ran on a backend server.
 *
 * <p>Only {@link #NOT_RUN} permits a retry of a request that is not idempotent, and only {@link
 * #NOT_RUN} may be reported to a caller as "not run".
 */
public enum Verdict {
    /** Proved not to have run, and that it never will. */
    NOT_RUN("not-run"),
    /** Sent to a backend server, with unknown outcome. */
    MAY_HAVE_RUN("may-have-run"),
    /** Known to have run. */
    RAN("ran");

    private final String label;

    Verdict(String label) {
        this.label = label;
    }

    /**
     * Returns the word used in headers, JSON bodies and records.
     *
     * @return the stable lower-case word
     */
    public String label() {
        return label;
    }

    /**
     * Returns the verdict that is closer to having run, which combines those of several attempts.
     *
     * @param other the verdict of another attempt of the same request
     * @return the combined verdict of both attempts
     */
    public Verdict or(Verdict other) {
        return ordinal() >= other.ordinal() ? this : other;
    }
}
