package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.direct.PromptParts;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Finds the parts of prompts that explain repeated crashes of model servers. Stateless.
 *
 * <p>A crash breaks all streams of a server, and several requests may be about to begin there, most
 * of them harmless. The part that is common to the most crashes explains them; the other crashes
 * are then examined without them, so that harmless requests which were retried from one crashing
 * server at the next are not blamed, and a second harmful part is found.
 */
final class CrashPatternFinder {

    /** Separate crashes after which a part between the first and the last explains them. */
    private static final int CRASHES_FOR_INNER_PART = 2;

    /**
     * Separate crashes after which the first or the last part explains them. All requests of a
     * route may have the same first part, and a last part is in few prompts, so that a coincidence
     * is not refuted by another request.
     */
    private static final int CRASHES_FOR_OUTER_PART = 3;

    /**
     * Crashes within this time count once, since servers that are lost together, as with their
     * availability zone, have a common cause outside of the prompts. Not if the same prompt is in
     * both, as it was sent to the second server after the first had crashed.
     */
    private static final long COMMON_CAUSE_MILLIS = 200;

    private CrashPatternFinder() {}

    /** The crashes in which a part is suspected, as indices into the list of crashes. */
    private static final class Evidence {
        private final BitSet crashes = new BitSet();
        private boolean inner;
        private boolean known;
        private int separateCrashes;

        boolean isSufficient() {
            return separateCrashes >= (inner ? CRASHES_FOR_INNER_PART : CRASHES_FOR_OUTER_PART);
        }

        boolean includes(Evidence other) {
            BitSet missing = (BitSet) other.crashes.clone();
            missing.andNot(crashes);
            return missing.isEmpty();
        }

        void countSeparate(List<ServerCrash> all) {
            separateCrashes = 0;
            ServerCrash counted = null;
            for (int i = crashes.nextSetBit(0); i >= 0; i = crashes.nextSetBit(i + 1)) {
                ServerCrash crash = all.get(i);
                if (counted == null || areSeparate(counted, crash)) {
                    separateCrashes++;
                    counted = crash;
                }
            }
        }

        private static boolean areSeparate(ServerCrash first, ServerCrash second) {
            return second.crashedMillis() - first.crashedMillis() > COMMON_CAUSE_MILLIS
                    || !Collections.disjoint(first.prompts(), second.prompts());
        }

        private static Comparator<Evidence> byWeight() {
            return Comparator.<Evidence, Boolean>comparing(evidence -> evidence.inner)
                    .thenComparing(evidence -> evidence.separateCrashes)
                    .thenComparing(evidence -> evidence.known);
        }
    }

    /**
     * Returns the patterns that explain the crashes.
     *
     * @param crashes the crashes, oldest first
     * @param suspected whether a part may have caused a crash
     * @param known the parts of the patterns in force; preferred if others explain as much
     * @return the patterns
     */
    static List<CrashPattern> find(
            List<ServerCrash> crashes,
            BiPredicate<String, ServerCrash> suspected,
            Set<String> known) {
        BitSet unexplained = new BitSet();
        unexplained.set(0, crashes.size());
        List<CrashPattern> patterns = new ArrayList<>();
        while (true) {
            Map<String, Evidence> evidence = collect(crashes, unexplained, suspected, known);
            Optional<Evidence> best =
                    evidence.values().stream()
                            .filter(Evidence::isSufficient)
                            .max(Evidence.byWeight());
            if (best.isEmpty()) {
                return patterns;
            }
            Set<String> parts = new LinkedHashSet<>();
            evidence.forEach(
                    (part, other) -> {
                        if (other.includes(best.get())) {
                            parts.add(part);
                        }
                    });
            BitSet explained = best.get().crashes;
            patterns.add(
                    new CrashPattern(parts, explained.stream().mapToObj(crashes::get).toList()));
            unexplained.andNot(explained);
        }
    }

    private static Map<String, Evidence> collect(
            List<ServerCrash> crashes,
            BitSet unexplained,
            BiPredicate<String, ServerCrash> suspected,
            Set<String> known) {
        // Sorted, so that all entries find the same patterns from the same crashes.
        Map<String, Evidence> evidence = new TreeMap<>();
        for (int i = unexplained.nextSetBit(0); i >= 0; i = unexplained.nextSetBit(i + 1)) {
            for (PromptParts prompt : crashes.get(i).prompts()) {
                int last = prompt.ids().size() - 1;
                for (int position = 0; position <= last; position++) {
                    String part = prompt.ids().get(position);
                    if (suspected.test(part, crashes.get(i))) {
                        Evidence found = evidence.computeIfAbsent(part, unused -> new Evidence());
                        found.crashes.set(i);
                        found.inner |= position > 0 && position < last;
                    }
                }
            }
        }
        evidence.forEach(
                (part, found) -> {
                    found.known = known.contains(part);
                    found.countSeparate(crashes);
                });
        return evidence;
    }
}
