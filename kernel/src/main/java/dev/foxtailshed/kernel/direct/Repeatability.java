package dev.foxtailshed.kernel.direct;

/** Specifies whether a request may run more than once and whether its answer is a stream. */
public enum Repeatability {
    /** The request may run any number of times. */
    REPEATABLE,
    /** The request may run at most once. */
    AT_MOST_ONCE,
    /** The answer is a stream of events, and the request may run at most once. */
    STREAM_ONCE,
    /**
     * The answer is a stream of events that another server may resume after the last received
     * event.
     */
    STREAM_RESUMABLE;

    /**
     * Returns whether the request may be sent again even if it may have run.
     *
     * @return true for requests that may run more than once
     */
    public boolean mayRunAgain() {
        return this == REPEATABLE || this == STREAM_RESUMABLE;
    }

    /**
     * Returns whether the answer is a stream of events.
     *
     * @return true for streams
     */
    public boolean isStream() {
        return this == STREAM_ONCE || this == STREAM_RESUMABLE;
    }
}
