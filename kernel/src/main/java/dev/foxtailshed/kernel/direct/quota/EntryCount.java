package dev.foxtailshed.kernel.direct.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;

/**
 * The number of entries among which a limit is divided: the highest that was known recently.
 *
 * <p>A higher number takes effect at once, a lower one after a while. While some entries count
 * fewer than there are, the shares add up to more than the limit; a number that is too high only
 * loses credit. Not thread-safe.
 */
final class EntryCount {

    private final Deque<Recent> recent = new ArrayDeque<>();
    private OptionalInt configured = OptionalInt.empty();

    private record Recent(int entries, long untilMillis) {}

    /**
     * Sets the number.
     *
     * @param entries the number; empty if it is unknown
     * @param holdMillis how long the previous number is kept if it is higher
     * @param nowMillis the current time
     */
    void configure(OptionalInt entries, long holdMillis, long nowMillis) {
        configured.ifPresent(previous -> addRecent(previous, nowMillis + holdMillis));
        configured = entries;
    }

    /** Returns the number to divide by; empty if it is unknown. */
    OptionalInt get(long nowMillis) {
        while (!recent.isEmpty() && recent.peekFirst().untilMillis <= nowMillis) {
            recent.removeFirst();
        }
        if (configured.isEmpty() || recent.isEmpty()) {
            return configured;
        }
        return OptionalInt.of(Math.max(recent.peekFirst().entries, configured.getAsInt()));
    }

    private void addRecent(int entries, long untilMillis) {
        while (!recent.isEmpty() && recent.peekLast().entries <= entries) {
            recent.removeLast();
        }
        recent.addLast(new Recent(entries, untilMillis));
    }
}
