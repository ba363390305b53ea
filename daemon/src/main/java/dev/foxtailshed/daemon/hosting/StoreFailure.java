package dev.foxtailshed.daemon.hosting;

import dev.foxtailshed.kernel.Verdict;

/**
 * A call to a store failed.
 *
 * @param kind what kind of failure it is
 * @param verdict whether a write may have taken effect
 * @param message one phrase for logs
 */
public record StoreFailure(Kind kind, Verdict verdict, String message) {

    /** What a caller of the store can do about a failure. */
    public enum Kind {
        /** The store did not answer, or did not serve the call; a later call may succeed. */
        UNAVAILABLE,
        /** The object is not as the call expected it. */
        CONFLICT,
        /** The history that a watch asked for is gone; only a new list helps. */
        HISTORY_GONE,
        /** The answer cannot be read. */
        MALFORMED
    }

    /**
     * Creates the failure of a store that did not serve the call.
     *
     * @param verdict whether a write may have taken effect
     * @param message one phrase for logs
     */
    public StoreFailure(Verdict verdict, String message) {
        this(Kind.UNAVAILABLE, verdict, message);
    }
}
