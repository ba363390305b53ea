package dev.foxtailshed.kernel.direct;

/** Says whether a request may run more than once, and how its answer arrives. */
public enum Repeatability {
    /** The request may run any number of times. */
    REPEATABLE,
    /** The request may run at most once. */
    AT_MOST_ONCE,
    /** A stream of events that may run at most once. */
    STREAM_ONCE,
    /** A stream of events that may go on at another server after the last event received. */
    STREAM_RESUMABLE;

    /**
     * Tells whether the request may be sent again although it may have run.
     *
     * @return true for requests that may run more than once
     */
    public boolean mayRunAgain() {
        return this == REPEATABLE || this == STREAM_RESUMABLE;
    }

    /**
     * Tells whether the answer is a stream of events.
     *
     * @return true for streams
     */
    public boolean isStream() {
        return this == STREAM_ONCE || this == STREAM_RESUMABLE;
    }
}
