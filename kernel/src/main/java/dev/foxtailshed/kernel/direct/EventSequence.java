package dev.foxtailshed.kernel.direct;

import java.util.OptionalLong;

/**
 * Checks that the events of a stream arrive in order, across all attempts that produce the stream.
 *
 * <p>Ids increase but need not be consecutive, so a missing event is not detected. Not thread-safe.
 */
public final class EventSequence {

    private OptionalLong lastId;

    /**
     * Creates a sequence.
     *
     * @param resumeAfter the id of the last event that the caller has already received, empty if
     *     the stream starts at its beginning
     */
    public EventSequence(OptionalLong resumeAfter) {
        this.lastId = resumeAfter;
    }

    /**
     * Accepts the next event unless it is out of order.
     *
     * @param id the id of the event
     * @return whether the id is larger than the id of the last accepted event
     */
    public boolean accept(long id) {
        if (lastId.isPresent() && id <= lastId.getAsLong()) {
            return false;
        }
        lastId = OptionalLong.of(id);
        return true;
    }
}
