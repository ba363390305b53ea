package dev.foxtailshed.daemon.hosting;

import dev.foxtailshed.kernel.Verdict;

/**
 * The failure of a call to a store.
 *
 * @param kind the kind of failure
 * @param verdict whether a write may have taken effect
 * @param message a short description for logs
 */
public record StoreFailure(Kind kind, Verdict verdict, String message) {

    /** The kinds of failure, by what the caller of the store can do about them. */
    public enum Kind {
        /** The store did not respond or did not serve the call; a later call may succeed. */
        UNAVAILABLE,
        /** The entry exists already or has changed. */
        CONFLICT,
        /**
         * The store no longer has the history since the watched revision; the collection must be
         * listed again.
         */
        HISTORY_GONE,
        /** The response is malformed. */
        MALFORMED
    }

    /**
     * Creates a failure of kind {@link Kind#UNAVAILABLE}.
     *
     * @param verdict whether a write may have taken effect
     * @param message a short description for logs
     */
    public StoreFailure(Verdict verdict, String message) {
        this(Kind.UNAVAILABLE, verdict, message);
    }
}
