package dev.foxtailshed.kernel.direct;

import java.util.Comparator;
import java.util.OptionalLong;

/**
 * A position in the history of the platform's store.
 *
 * <p>A store that is restored from a copy loses its latest changes, and gives their revisions out
 * again. Revisions can therefore be compared only within one era, which ends with a restore.
 *
 * @param era the number of the era; higher after each restore
 * @param revision the revision within the era; higher after each change
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

    /** The position before all others, of a reader that has not read anything. */
    public static final StorePosition NONE = new StorePosition(-1, 0);

    /** Low bits of a fencing token, enough for the revisions of an era. */
    private static final int REVISION_BITS = 40;

    private static final int ERA_BITS = Long.SIZE - 1 - REVISION_BITS;

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    /**
     * Returns whether changes since the other position lead to this one, so that nothing was lost
     * in between.
     *
     * @param other the other position
     * @return whether both are from the same era
     */
    public boolean isSameHistory(StorePosition other) {
        return era == other.era;
    }

    /**
     * Returns a number for commands that must not be carried out after a newer one.
     *
     * @return a number that is higher the later the position, across eras; empty for a position in
     *     a restored store whose era and revision do not fit into one number
     */
    public OptionalLong toFencingToken() {
        if (era == 0) {
            return OptionalLong.of(revision);
        }
        boolean fits = era < 1L << ERA_BITS && revision < 1L << REVISION_BITS;
        return fits ? OptionalLong.of((era << REVISION_BITS) + revision) : OptionalLong.empty();
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era + "/" + revision;
    }
}
