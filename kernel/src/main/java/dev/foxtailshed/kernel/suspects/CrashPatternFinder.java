package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.direct.PromptParts;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
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
 * <p>Load pattern: a crash breaks all streams of a server, and several requests may be about to
 * begin there, most of them harmless. The part that is common to the most crashes explains them;
 * what is left of the other crashes is examined without them, so that harmless requests which were
 * retried from one crashing server at the next are not blamed, and a second harmful part is found.
 */
final class CrashPatternFinder {

    /** Separate crashes after which a part that requests share explains them. */
    private static final int CRASHES_FOR_SHARED_PART = 2;

    /**
     * Separate crashes after which the last part explains them. It is in few prompts, so that a
     * coincidence is not refuted by another request.
     */
    private static final int CRASHES_FOR_LAST_PART = 3;

    /**
     * Crashes within this time count once, since servers that are lost together, as with their
     * availability zone, have a common cause outside of the prompts.
     */
    private static final long COMMON_CAUSE_MILLIS = 200;

    private CrashPatternFinder() {}

    /** The crashes in which a part was seen, oldest first. */
    private static final class Evidence {
        private final Set<ServerCrash> crashes = new LinkedHashSet<>();
        private boolean shared;
        private boolean known;

        boolean isSufficient() {
            return separateCrashes() >= (shared ? CRASHES_FOR_SHARED_PART : CRASHES_FOR_LAST_PART);
        }

        int separateCrashes() {
            int count = 0;
            long countedMillis = 0;
            for (ServerCrash crash : crashes) {
                if (count == 0 || crash.crashedMillis() - countedMillis > COMMON_CAUSE_MILLIS) {
                    count++;
                    countedMillis = crash.crashedMillis();
                }
            }
            return count;
        }

        private static Comparator<Evidence> byWeight() {
            return Comparator.comparingInt(Evidence::separateCrashes)
                    .thenComparing(evidence -> evidence.shared)
                    .thenComparing(evidence -> evidence.known);
        }
    }

    /**
     * Returns the patterns that explain the crashes.
     *
     * @param crashes the crashes, oldest first
     * @param suspected whether a part may have caused a crash
     * @param known the parts of the patterns in force; preferred if others explain as much
     * @return the patterns, those with the most crashes first
     */
    static List<CrashPattern> find(
            List<ServerCrash> crashes,
            BiPredicate<String, ServerCrash> suspected,
            Set<String> known) {
        List<ServerCrash> unexplained = new ArrayList<>(crashes);
        List<CrashPattern> patterns = new ArrayList<>();
        while (true) {
            Map<String, Evidence> evidence = collect(unexplained, suspected);
            evidence.forEach((part, found) -> found.known = known.contains(part));
            Optional<Evidence> best =
                    evidence.values().stream()
                            .filter(Evidence::isSufficient)
                            .max(Evidence.byWeight());
            if (best.isEmpty()) {
                return patterns;
            }
            Set<ServerCrash> explained = best.get().crashes;
            Set<String> parts = new LinkedHashSet<>();
            evidence.forEach(
                    (part, other) -> {
                        if (other.crashes.containsAll(explained)) {
                            parts.add(part);
                        }
                    });
            patterns.add(new CrashPattern(parts, List.copyOf(explained)));
            unexplained.removeAll(explained);
        }
    }

    private static Map<String, Evidence> collect(
            List<ServerCrash> crashes, BiPredicate<String, ServerCrash> suspected) {
        // Sorted, so that all entries find the same patterns from the same crashes.
        Map<String, Evidence> evidence = new TreeMap<>();
        for (ServerCrash crash : crashes) {
            Map<String, Boolean> sharedByPart = new HashMap<>();
            for (PromptParts prompt : crash.prompts()) {
                prompt.ids().forEach(part -> sharedByPart.putIfAbsent(part, false));
                prompt.shared().forEach(part -> sharedByPart.put(part, true));
            }
            sharedByPart.keySet().removeIf(part -> !suspected.test(part, crash));
            sharedByPart.forEach(
                    (part, shared) -> {
                        Evidence found = evidence.computeIfAbsent(part, unused -> new Evidence());
                        found.crashes.add(crash);
                        found.shared |= shared;
                    });
        }
        return evidence;
    }
}
