package dev.foxtailshed.kernel.attempt;

/**
 * Checks that the parts of one attempt's answer arrive in order and that the answer is complete.
 *
 * <p>Not thread-safe: confined to the serial executor of its request.
 */
public final class AnswerSequence {

    private long nextPosition;
    private boolean broken;
    private boolean ended;

    /**
     * Accepts the next part.
     *
     * @param position the index of the part, from zero
     * @return whether the part is the next one; a repeated part is ignored, and a gap marks the
     *     answer as broken
     */
    public boolean accept(long position) {
        if (ended || broken || position < nextPosition) {
            return false;
        }
        if (position > nextPosition) {
            broken = true;
            return false;
        }
        nextPosition++;
        return true;
    }

    /**
     * Ends the answer.
     *
     * @param parts the number of parts that the sender counted
     * @return whether the answer is complete
     */
    public boolean end(long parts) {
        ended = true;
        return !broken && parts == nextPosition;
    }

    /**
     * Returns whether a part is missing.
     *
     * @return true after a gap was detected
     */
    public boolean isBroken() {
        return broken;
    }

    /**
     * Returns how many parts have arrived in order.
     *
     * @return the number of accepted parts
     */
    public long parts() {
        return nextPosition;
    }
}
