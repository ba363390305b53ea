package dev.foxtailshed.kernel.direct.quota;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;

/**
 * The number of entries among which a limit is divided: the highest that is known or was known
 * recently.
 *
 * <p>A higher number takes effect at once, a lower one after a while. While some entries count
 * fewer than there are, the shares add up to more than the limit; a number that is too high only
 * loses credit. Entries learn of new ones from each other's messages before their own source tells
 * them. What they pass on keeps its time of expiry, so that they do not confirm each other's old
 * numbers. Not thread-safe.
 */
final class EntryCount {

    /** Highest credible ratio of a peer's number to the own one. */
    private static final int MAXIMUM_RATIO = 4;

    private final TreeMap<Integer, Long> untilMillis = new TreeMap<>();
    private OptionalInt configured = OptionalInt.empty();
    private long holdMillis;

    /**
     * Sets the number that this entry's own source tells.
     *
     * @param entries the number, at least 1; empty if it is unknown
     * @param newHoldMillis how long a number is used after it was replaced by a lower one
     * @param nowMillis the current time
     */
    void configure(OptionalInt entries, long newHoldMillis, long nowMillis) {
        holdMillis = newHoldMillis;
        configured.ifPresent(
                previous -> untilMillis.merge(previous, nowMillis + holdMillis, Math::max));
        configured = entries;
        entries.ifPresent(count -> untilMillis.headMap(count, true).clear());
    }

    /** Records the number that another entry uses. */
    void hear(KnownEntryCount known, long nowMillis) {
        long validMillis = Math.min(known.validMillis(), holdMillis);
        if (configured.isPresent() && validMillis > 0 && known.entries() > configured.getAsInt()) {
            int most =
                    (int) Math.min(Integer.MAX_VALUE, (long) MAXIMUM_RATIO * configured.getAsInt());
            untilMillis.merge(Math.min(most, known.entries()), nowMillis + validMillis, Math::max);
        }
    }

    /** Returns the number to divide by, and to tell others; empty if it is unknown. */
    Optional<KnownEntryCount> get(long nowMillis) {
        if (configured.isEmpty()) {
            return Optional.empty();
        }
        while (!untilMillis.isEmpty() && untilMillis.lastEntry().getValue() <= nowMillis) {
            untilMillis.pollLastEntry();
        }
        Map.Entry<Integer, Long> highest = untilMillis.lastEntry();
        return Optional.of(
                highest == null || highest.getKey() <= configured.getAsInt()
                        ? new KnownEntryCount(configured.getAsInt(), holdMillis)
                        : new KnownEntryCount(highest.getKey(), highest.getValue() - nowMillis));
    }
}
