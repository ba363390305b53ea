package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.suspects.RequestTrait.Kind;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Finds the requests that crash servers after they have begun to answer them. Stateless.
 *
 * <p>A crash breaks off all requests of a server, and a harmless one that is retried meets the next
 * crash again if servers end one after the other for another reason. It differs in where it is
 * broken off: at a random event, where a harmful one is broken off at about the same event of each
 * run, and no server crashes without it meanwhile. Otherwise a request is blamed only after more
 * crashes than the attempts of a caller usually meet. Only whole requests are blamed, since the
 * parts of a prompt are in many harmless requests that run at any time.
 */
final class BrokenRunPatternFinder {

    /**
     * Crashes at the first events of the run after which the request of a caller is blamed; few
     * harmless requests are at their first events when a server crashes.
     */
    private static final int CRASHES_AT_FIRST_EVENTS = 3;

    private static final int FIRST_EVENTS = 2;

    /** Crashes at about the same later event after which the request of a caller is blamed. */
    private static final int CRASHES_AT_SAME_EVENT = 4;

    /**
     * Crashes at any event after which a request is blamed; a caller sends a request twice, and an
     * entry sends each of them to two servers, in usual configurations.
     */
    private static final int CRASHES_AT_ANY_EVENT = 5;

    /** Difference of events at which runs were broken off at about the same one. */
    private static final int SAME_EVENT_TOLERANCE = 2;

    /** The same as a part of the number of events, as servers may put several tokens into one. */
    private static final int SAME_EVENT_DIVISOR = 16;

    private BrokenRunPatternFinder() {}

    /** The crashes that broke off requests with a trait, oldest first. */
    private static final class Evidence {
        private final List<ServerCrash> crashes = new ArrayList<>();
        private final BitSet crashNumbers = new BitSet();
        private final List<BegunRun> begunRuns = new ArrayList<>();
        private long lastSeparateMillis;
        private int separateCrashes;

        /**
         * A run that had brought events.
         *
         * @param crashNumber the number of the crash that broke it off, among all crashes
         * @param events the events
         */
        private record BegunRun(int crashNumber, int events) {}

        void add(ServerCrash crash, int crashNumber, BrokenRun run) {
            boolean separate =
                    crashes.isEmpty()
                            || !crash.isShortlyAfter(lastSeparateMillis)
                            || run.wasSentAfter(lastSeparateMillis, crash.crashedMillis());
            crashes.add(crash);
            crashNumbers.set(crashNumber);
            if (!separate) {
                return;
            }
            separateCrashes++;
            lastSeparateMillis = crash.crashedMillis();
            if (run.events() > 0) {
                begunRuns.add(new BegunRun(crashNumber, run.events()));
            }
        }

        boolean isSufficient(Kind kind) {
            return separateCrashes >= CRASHES_AT_ANY_EVENT
                    || kind == Kind.CALLER_AND_CONTENT
                            && (hasRunsToSameEvent(CRASHES_AT_FIRST_EVENTS, FIRST_EVENTS)
                                    || hasRunsToSameEvent(
                                            CRASHES_AT_SAME_EVENT, Integer.MAX_VALUE));
        }

        /**
         * Returns whether consecutive crashes broke off the latest runs at about the same event.
         *
         * @param runs the number of runs
         * @param maximumEvents the last event that counts
         */
        private boolean hasRunsToSameEvent(int runs, int maximumEvents) {
            int size = begunRuns.size();
            if (size < runs) {
                return false;
            }
            List<BegunRun> latest = begunRuns.subList(size - runs, size);
            int most = latest.stream().mapToInt(BegunRun::events).max().orElse(0);
            int least = latest.stream().mapToInt(BegunRun::events).min().orElse(0);
            return isInAllCrashes(latest.get(0).crashNumber(), latest.get(runs - 1).crashNumber())
                    && most <= maximumEvents
                    && most - least <= Math.max(SAME_EVENT_TOLERANCE, most / SAME_EVENT_DIVISOR);
        }

        /** Returns whether no crash from the first to the last one was without the trait. */
        private boolean isInAllCrashes(int first, int last) {
            return crashNumbers.nextClearBit(first) > last;
        }
    }

    /**
     * Returns the patterns that broken runs show.
     *
     * @param crashes the crashes, oldest first
     * @param suspected whether a trait of a broken run may have caused a crash
     * @return the patterns, each of one trait
     */
    static List<CrashPattern> find(
            List<ServerCrash> crashes, BiPredicate<RequestTrait, ServerCrash> suspected) {
        // Sorted, so that all entries find the same patterns from the same crashes.
        Map<RequestTrait, Evidence> evidence = new TreeMap<>();
        for (int number = 0; number < crashes.size(); number++) {
            ServerCrash crash = crashes.get(number);
            for (BrokenRun run : crash.runs()) {
                for (RequestTrait trait : run.request().traits()) {
                    if (trait.kind() != Kind.PROMPT_PART && suspected.test(trait, crash)) {
                        evidence.computeIfAbsent(trait, unused -> new Evidence())
                                .add(crash, number, run);
                    }
                }
            }
        }
        List<CrashPattern> sufficient = new ArrayList<>();
        evidence.forEach(
                (trait, found) -> {
                    if (found.isSufficient(trait.kind())) {
                        sufficient.add(new CrashPattern(Set.of(trait), found.crashes));
                    }
                });
        return withoutExplained(sufficient);
    }

    /**
     * Removes the patterns whose crashes another one explains, such as that of a harmless request
     * beside the harmful one, or that of the content if one caller has sent it.
     */
    private static List<CrashPattern> withoutExplained(List<CrashPattern> patterns) {
        patterns.sort(
                Comparator.comparingInt((CrashPattern pattern) -> -pattern.crashes().size())
                        .thenComparing(
                                pattern -> pattern.traits().iterator().next().kind(),
                                Comparator.reverseOrder()));
        List<CrashPattern> kept = new ArrayList<>();
        for (CrashPattern pattern : patterns) {
            if (kept.stream().noneMatch(k -> k.crashes().containsAll(pattern.crashes()))) {
                kept.add(pattern);
            }
        }
        return kept;
    }
}
