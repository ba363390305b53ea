package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.suspects.RequestTrait.Kind;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * The parts of prompts whose answers were broken off by crashes of servers, and what clears them.
 *
 * <p>An answer clears a part of a crash if it began after the crash and got beyond the event at
 * which the crash broke off answers to prompts with the part. It then clears the part of all
 * earlier crashes, too. Not thread-safe.
 */
final class SuspectedParts {

    /** Events by which an answer has to get further, as servers may put several tokens into one. */
    private static final int EVENT_TOLERANCE = CrashingPartFinder.SAME_EVENT_TOLERANCE;

    private final PartProgress progress = new PartProgress();
    private Map<RequestTrait, BrokenAnswers> brokenAnswers = Map.of();

    /** The crashes that broke off answers to prompts with a part. */
    private static final class BrokenAnswers {

        /** The last event at which each crash broke off an answer, by the time of the crash. */
        private final NavigableMap<Long, Integer> eventsByCrashMillis = new TreeMap<>();

        void add(long crashedMillis, int events) {
            eventsByCrashMillis.merge(crashedMillis, events, Math::max);
        }

        int crashCount() {
            return eventsByCrashMillis.size();
        }

        /** Returns whether a crash is in a time, which ends before its last millisecond. */
        boolean hasCrashBetween(long fromMillis, long toMillis) {
            Long crashed = eventsByCrashMillis.ceilingKey(fromMillis);
            return crashed != null && crashed < toMillis;
        }
    }

    /**
     * Replaces the crashes.
     *
     * @param crashes the crashes, oldest first
     * @return the patterns that they show
     */
    List<CrashPattern> update(List<ServerCrash> crashes) {
        Map<RequestTrait, BrokenAnswers> next = new HashMap<>();
        for (ServerCrash crash : crashes) {
            for (BrokenRun run : crash.brokenWork()) {
                for (RequestTrait trait : run.request().traits()) {
                    if (trait.kind() == Kind.PROMPT_PART) {
                        next.computeIfAbsent(trait, unused -> new BrokenAnswers())
                                .add(crash.crashedMillis(), run.events());
                    }
                }
            }
        }
        brokenAnswers = next;
        return CrashingPartFinder.find(crashes, this::clearedMillis);
    }

    /**
     * Records how far an answer got.
     *
     * @param traits the traits of its request
     * @param events the events that have arrived, or {@link PartProgress#COMPLETE}
     * @param beganMillis when the first of them arrived
     * @return the parts in several crashes that this clears of one
     */
    Set<RequestTrait> recordProgress(
            Collection<RequestTrait> traits, int events, long beganMillis) {
        Map<RequestTrait, OptionalLong> before = new HashMap<>();
        for (RequestTrait trait : traits) {
            BrokenAnswers broken = brokenAnswers.get(trait);
            if (broken != null && broken.crashCount() > 1) {
                before.put(trait, clearedMillis(trait));
            }
        }
        progress.record(traits, events, beganMillis);
        Set<RequestTrait> cleared = new LinkedHashSet<>();
        before.forEach(
                (part, earlier) -> {
                    OptionalLong now = clearedMillis(part);
                    if (now.isPresent()
                            && brokenAnswers
                                    .get(part)
                                    .hasCrashBetween(
                                            earlier.orElse(Long.MIN_VALUE), now.getAsLong())) {
                        cleared.add(part);
                    }
                });
        return cleared;
    }

    /**
     * Returns the parts for which a crash is the second one, and which are cleared of the first.
     *
     * @param crash the crash
     * @return the parts and the times before which they are cleared
     */
    Map<RequestTrait, Long> findClearedOfFirstCrash(ServerCrash crash) {
        Map<RequestTrait, Long> cleared = new HashMap<>();
        for (BrokenRun run : crash.brokenWork()) {
            for (RequestTrait trait : run.request().traits()) {
                BrokenAnswers broken = brokenAnswers.get(trait);
                if (broken != null && broken.crashCount() == 2) {
                    clearedMillis(trait).ifPresent(millis -> cleared.put(trait, millis));
                }
            }
        }
        return cleared;
    }

    /**
     * Returns the time before which no crash was caused by a part.
     *
     * @param part the part
     * @return the time in milliseconds, empty if the part is not cleared of any crash
     */
    OptionalLong clearedMillis(RequestTrait part) {
        BrokenAnswers broken = brokenAnswers.get(part);
        if (broken == null) {
            return OptionalLong.empty();
        }
        long nextCrashMillis = Long.MAX_VALUE;
        for (Map.Entry<Long, Integer> crash :
                broken.eventsByCrashMillis.descendingMap().entrySet()) {
            OptionalLong beganMillis =
                    progress.lastBeyond(part, crash.getValue() + EVENT_TOLERANCE);
            if (beganMillis.isPresent() && beganMillis.getAsLong() > crash.getKey()) {
                return OptionalLong.of(Math.min(beganMillis.getAsLong(), nextCrashMillis));
            }
            nextCrashMillis = crash.getKey();
        }
        return OptionalLong.empty();
    }
}
