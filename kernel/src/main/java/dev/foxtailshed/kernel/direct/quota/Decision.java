package dev.foxtailshed.kernel.direct.quota;

/**
 * Whether a request is within its workspace's limit.
 *
 * @param outcome what to do with the request
 * @param creditAfterMillis if it is rejected, the estimated time until its workspace has credit, at
 *     least 1; without jitter. A caller that can wait that long may spend again then. Otherwise 0
 */
public record Decision(Outcome outcome, long creditAfterMillis) {

    static final Decision ADMITTED = new Decision(Outcome.ADMITTED, 0);
    static final Decision DRAW = new Decision(Outcome.DRAW, 0);

    /** What to do with a request. */
    public enum Outcome {
        /** The tokens are spent. */
        ADMITTED,
        /**
         * Credit of the home is needed. The request waits for the result of a draw, either a new
         * one or the one that is in flight, and spends again then.
         */
        DRAW,
        /** There is no credit, and a draw would not give any now. */
        REJECTED
    }

    static Decision rejected(long creditAfterMillis) {
        return new Decision(Outcome.REJECTED, Math.max(1, creditAfterMillis));
    }
}
