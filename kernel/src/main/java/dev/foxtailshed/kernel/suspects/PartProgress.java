package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.suspects.RequestTrait.Kind;
import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Remembers how far the answers to prompts with a part got, and when these answers had begun.
 *
 * <p>A part that crashes servers at some event of an answer is in no answer that gets further.
 * Holds a bounded number of parts. Not thread-safe.
 */
final class PartProgress {

    /** The number of events that stands for a complete answer. */
    static final int COMPLETE = Integer.MAX_VALUE;

    private final Map<RequestTrait, Levels> levelsByPart = new RecentTraits<>();

    /** When the last answers began that reached each number of events that is distinguished. */
    private static final class Levels {
        private static final int COUNT = RunProgress.MILESTONES + 1;

        private final long[] beganMillis = new long[COUNT];

        Levels() {
            Arrays.fill(beganMillis, Long.MIN_VALUE);
        }

        void record(int events, long began) {
            int reached = events == COMPLETE ? COUNT : RunProgress.milestonesReached(events);
            for (int i = 0; i < reached; i++) {
                beganMillis[i] = Math.max(beganMillis[i], began);
            }
        }

        OptionalLong lastBeyond(int events) {
            long began = beganMillis[RunProgress.milestonesReached(events)];
            return began == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(began);
        }
    }

    /**
     * Records the progress of an answer.
     *
     * @param traits the traits of its request; those that are no parts are ignored
     * @param events the events that have arrived, or {@link #COMPLETE}
     * @param beganMillis when the first of them arrived
     */
    void record(Collection<RequestTrait> traits, int events, long beganMillis) {
        for (RequestTrait trait : traits) {
            if (trait.kind() == Kind.PROMPT_PART) {
                levelsByPart
                        .computeIfAbsent(trait, unused -> new Levels())
                        .record(events, beganMillis);
            }
        }
    }

    /**
     * Returns when the last answer began that got beyond an event.
     *
     * @param part the part of its prompt
     * @param events the number of the event; answers that are known to have got further count
     * @return the time in milliseconds, empty if no such answer is known
     */
    OptionalLong lastBeyond(RequestTrait part, int events) {
        Levels levels = levelsByPart.get(part);
        return levels == null ? OptionalLong.empty() : levels.lastBeyond(events);
    }
}
