package dev.foxtailshed.kernel.suspects;

import java.util.OptionalLong;

/**
 * Tells at which events of an answer its progress is worth recording: the numbers double, so that a
 * long answer costs little.
 *
 * <p>Example: <code>if (progress.advance(events, nowMillis)) { record(progress); }</code>. Not
 * thread-safe.
 */
public final class RunProgress {

    /** Number of the event at which the progress of an answer is recorded first. */
    private static final int FIRST_MILESTONE_EVENTS = 5;

    /** The number of times that the progress of an answer is recorded at most. */
    static final int MILESTONES = 12;

    private OptionalLong beganMillis = OptionalLong.empty();
    private int reached;

    /**
     * Advances to an event.
     *
     * @param events the number of events that have arrived; not decreasing
     * @param nowMillis the current time
     * @return whether the progress is worth recording
     */
    public boolean advance(int events, long nowMillis) {
        if (beganMillis.isEmpty() && events > 0) {
            beganMillis = OptionalLong.of(nowMillis);
        }
        int before = reached;
        reached = milestonesReached(events);
        return reached > before;
    }

    /**
     * Returns when the first events arrived.
     *
     * @return the time in milliseconds, empty if none has arrived
     */
    public OptionalLong beganMillis() {
        return beganMillis;
    }

    /** Returns how many of the milestones an answer with so many events has reached. */
    static int milestonesReached(int events) {
        int milestones = 0;
        while (milestones < MILESTONES && events >= FIRST_MILESTONE_EVENTS << milestones) {
            milestones++;
        }
        return milestones;
    }
}
