package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.suspects.RequestTrait.Kind;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Finds the traits of requests that explain repeated crashes of servers. Stateless.
 *
 * <p>A crash breaks all requests of a server, and several may be about to begin there, most of them
 * harmless. The trait that is common to the most crashes explains them; the other crashes are then
 * examined without them, so that harmless requests which were retried from one crashing server at
 * the next are not blamed, and a second harmful trait is found.
 */
final class CrashPatternFinder {

    /**
     * Separate crashes after which a request that its caller sends again, or a part of prompts
     * between the first and the last, explains them.
     */
    private static final int CRASHES_FOR_DISTINCTIVE_TRAIT = 2;

    /**
     * Separate crashes after which another trait explains them. All requests of a route may have
     * the same content or the same first part, and a last part is in few prompts, so that a
     * coincidence is not refuted by another request.
     */
    private static final int CRASHES_FOR_SHARED_TRAIT = 3;

    private CrashPatternFinder() {}

    /** The crashes in which a trait is suspected, as indices into the list of crashes. */
    private static final class Evidence {
        private final BitSet crashes = new BitSet();
        private boolean outerPart = true;
        private boolean distinctive;
        private boolean known;
        private int separateCrashes;

        boolean isSufficient() {
            return separateCrashes
                    >= (distinctive ? CRASHES_FOR_DISTINCTIVE_TRAIT : CRASHES_FOR_SHARED_TRAIT);
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
                if (counted == null
                        || !crash.isShortlyAfter(counted.crashedMillis())
                        || crash.brokeOffRetryAfter(counted)) {
                    separateCrashes++;
                    counted = crash;
                }
            }
        }

        private static Comparator<Evidence> byWeight() {
            return Comparator.<Evidence, Boolean>comparing(evidence -> !evidence.outerPart)
                    .thenComparing(evidence -> evidence.separateCrashes)
                    .thenComparing(evidence -> evidence.known);
        }
    }

    /**
     * Returns the patterns that explain the crashes.
     *
     * @param crashes the crashes, oldest first
     * @param suspected whether a trait may have caused a crash
     * @param known the traits of the patterns in force; preferred if others explain as much
     * @return the patterns
     */
    static List<CrashPattern> find(
            List<ServerCrash> crashes,
            BiPredicate<RequestTrait, ServerCrash> suspected,
            Set<RequestTrait> known) {
        BitSet unexplained = new BitSet();
        unexplained.set(0, crashes.size());
        List<CrashPattern> patterns = new ArrayList<>();
        while (true) {
            Map<RequestTrait, Evidence> evidence = collect(crashes, unexplained, suspected, known);
            Optional<Evidence> best =
                    evidence.values().stream()
                            .filter(Evidence::isSufficient)
                            .max(Evidence.byWeight());
            if (best.isEmpty()) {
                return patterns;
            }
            Set<RequestTrait> traits = new LinkedHashSet<>();
            evidence.forEach(
                    (trait, other) -> {
                        if (other.includes(best.get())) {
                            traits.add(trait);
                        }
                    });
            BitSet explained = best.get().crashes;
            patterns.add(
                    new CrashPattern(traits, explained.stream().mapToObj(crashes::get).toList()));
            unexplained.andNot(explained);
        }
    }

    private static Map<RequestTrait, Evidence> collect(
            List<ServerCrash> crashes,
            BitSet unexplained,
            BiPredicate<RequestTrait, ServerCrash> suspected,
            Set<RequestTrait> known) {
        // Sorted, so that all entries find the same patterns from the same crashes.
        Map<RequestTrait, Evidence> evidence = new TreeMap<>();
        for (int i = unexplained.nextSetBit(0); i >= 0; i = unexplained.nextSetBit(i + 1)) {
            for (BrokenRun run : crashes.get(i).requests()) {
                RequestTraits request = run.request();
                for (int index = 0; index < request.traits().size(); index++) {
                    RequestTrait trait = request.traits().get(index);
                    if (suspected.test(trait, crashes.get(i))) {
                        Evidence found = evidence.computeIfAbsent(trait, unused -> new Evidence());
                        found.crashes.set(i);
                        boolean outerPart = request.isOuterPart(index);
                        found.outerPart &= outerPart;
                        found.distinctive |= !outerPart && trait.kind() != Kind.CONTENT;
                    }
                }
            }
        }
        evidence.forEach(
                (trait, found) -> {
                    found.known = known.contains(trait);
                    found.countSeparate(crashes);
                });
        return evidence;
    }
}
