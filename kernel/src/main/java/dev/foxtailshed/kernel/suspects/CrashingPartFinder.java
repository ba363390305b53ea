package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.suspects.RequestTrait.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Finds the parts of prompts that crash servers at some event of the answer, whatever else the
 * prompts hold.
 *
 * <p>A crash breaks off many harmless answers, and the parts of their prompts are in others that go
 * on. So a part is blamed only if different requests with it were broken off at the same event in
 * several crashes, none of them was further, and no answer clears the part of these crashes. A
 * request that is sent again is one request; {@link BrokenRunPatternFinder} blames it as a whole.
 * Parts that are in the same crashes are blamed together, until an answer clears one of them.
 */
final class CrashingPartFinder {

    /** Few harmless answers are at their first events when a server crashes. */
    private static final Criterion AT_FIRST_EVENTS = new Criterion(3, 3, 2, true);

    /** Harmless answers to prompts with a common part may be broken off at one event by chance. */
    private static final Criterion AT_A_LATER_EVENT = new Criterion(4, 3, Integer.MAX_VALUE, true);

    /** Servers may also crash for another reason meanwhile, and requests may be sent again. */
    private static final Criterion BESIDE_OTHER_CRASHES =
            new Criterion(5, 2, Integer.MAX_VALUE, false);

    /** Difference of events at which runs were broken off at the same one. */
    static final int SAME_EVENT_TOLERANCE = 2;

    private CrashingPartFinder() {}

    /**
     * The crashes at the same event after which a part is blamed.
     *
     * @param crashes the number of the latest crashes to look at
     * @param requests the least number of different requests with the part among them
     * @param maximumEvents the last event that counts
     * @param consecutive whether no server may have crashed without the part in between
     */
    private record Criterion(int crashes, int requests, int maximumEvents, boolean consecutive) {}

    /** What one crash broke off of the requests with a part; the event is that of the last one. */
    private static final class PartCrash {
        private final ServerCrash crash;
        private final int crashNumber;
        private final Set<RequestTrait> contents = new TreeSet<>();
        private final List<RequestTraits> requests = new ArrayList<>();
        private int events;
        private long latestSentMillis = Long.MIN_VALUE;

        PartCrash(ServerCrash crash, int crashNumber) {
            this.crash = crash;
            this.crashNumber = crashNumber;
        }

        void add(BrokenRun run) {
            requests.add(run.request());
            events = Math.max(events, run.events());
            latestSentMillis =
                    Math.max(latestSentMillis, crash.crashedMillis() - run.durationMillis());
            run.request().traits().stream()
                    .filter(trait -> trait.kind() == Kind.CONTENT)
                    .forEach(contents::add);
        }

        boolean mayHaveSameCauseAs(PartCrash earlier) {
            return crash.isShortlyAfter(earlier.crash.crashedMillis())
                    && latestSentMillis <= earlier.crash.crashedMillis();
        }
    }

    /** The crashes that broke off answers to prompts with a part. */
    private static final class Evidence {
        private final RequestTrait part;
        private final List<PartCrash> crashes = new ArrayList<>();
        private boolean outerPart = true;

        Evidence(RequestTrait part) {
            this.part = part;
        }

        void add(ServerCrash crash, int crashNumber, BrokenRun run, boolean isOuterPart) {
            int size = crashes.size();
            if (size == 0 || crashes.get(size - 1).crashNumber != crashNumber) {
                crashes.add(new PartCrash(crash, crashNumber));
            }
            crashes.get(crashes.size() - 1).add(run);
            outerPart &= isOuterPart;
        }

        /** Removes the crashes before a time. */
        void removeBefore(long millis) {
            crashes.removeIf(crash -> crash.crash.crashedMillis() < millis);
        }

        boolean isSufficient() {
            List<PartCrash> separate = separateCrashes();
            return Stream.of(AT_FIRST_EVENTS, AT_A_LATER_EVENT, BESIDE_OTHER_CRASHES)
                    .anyMatch(criterion -> isMet(criterion, separate));
        }

        /**
         * Returns the crashes that count. Those that broke off requests before their first event do
         * not, as many harmless ones wait for it.
         */
        private List<PartCrash> separateCrashes() {
            List<PartCrash> separate = new ArrayList<>();
            for (PartCrash next : crashes) {
                if (next.events > 0
                        && (separate.isEmpty()
                                || !next.mayHaveSameCauseAs(separate.get(separate.size() - 1)))) {
                    separate.add(next);
                }
            }
            return separate;
        }

        private boolean isMet(Criterion criterion, List<PartCrash> separate) {
            int size = separate.size();
            if (size < criterion.crashes()) {
                return false;
            }
            List<PartCrash> latest = separate.subList(size - criterion.crashes(), size);
            int most = latest.stream().mapToInt(crash -> crash.events).max().orElse(0);
            int least = latest.stream().mapToInt(crash -> crash.events).min().orElse(0);
            return most <= criterion.maximumEvents()
                    && most - least <= SAME_EVENT_TOLERANCE
                    && countDifferentRequests(latest) >= criterion.requests()
                    && (!criterion.consecutive() || isInAllCrashesSince(latest.get(0).crashNumber));
        }

        private boolean isInAllCrashesSince(int first) {
            int last = crashes.get(crashes.size() - 1).crashNumber;
            long with = crashes.stream().filter(crash -> crash.crashNumber >= first).count();
            return with == last - first + 1;
        }

        private static int countDifferentRequests(List<PartCrash> latest) {
            Set<RequestTrait> counted = new HashSet<>();
            for (PartCrash crash : latest) {
                crash.contents.stream()
                        .filter(content -> !counted.contains(content))
                        .findFirst()
                        .ifPresent(counted::add);
            }
            return counted.size();
        }

        /** Orders inner parts after the first one, then by the number of crashes. */
        static Comparator<Evidence> byWeight() {
            return Comparator.<Evidence, Boolean>comparing(evidence -> !evidence.outerPart)
                    .thenComparing(evidence -> evidence.crashes.size());
        }

        /** Returns whether all requests with another part have this one, which is not cleared. */
        boolean isBeside(Evidence other) {
            return crashNumbers().containsAll(other.crashNumbers())
                    && other.crashes.stream()
                            .flatMap(crash -> crash.requests.stream())
                            .allMatch(request -> request.containsAll(Set.of(part)));
        }

        private Set<Integer> crashNumbers() {
            Set<Integer> numbers = new HashSet<>();
            crashes.forEach(crash -> numbers.add(crash.crashNumber));
            return numbers;
        }
    }

    /**
     * Returns the patterns that the crashes show.
     *
     * @param crashes the crashes, oldest first
     * @param cleared returns the time before which a part did not cause any crash
     * @return the patterns, each of one or several parts
     */
    static List<CrashPattern> find(
            List<ServerCrash> crashes, Function<RequestTrait, OptionalLong> cleared) {
        List<ServerCrash> unexplained = new ArrayList<>(crashes);
        List<CrashPattern> patterns = new ArrayList<>();
        while (true) {
            List<Evidence> all = collect(unexplained, cleared);
            Optional<Evidence> best =
                    all.stream().filter(Evidence::isSufficient).max(Evidence.byWeight());
            if (best.isEmpty()) {
                return patterns;
            }
            Set<RequestTrait> parts = new LinkedHashSet<>();
            all.stream()
                    .filter(evidence -> evidence.isBeside(best.get()))
                    .forEach(evidence -> parts.add(evidence.part));
            List<ServerCrash> explained =
                    best.get().crashes.stream().map(crash -> crash.crash).toList();
            patterns.add(new CrashPattern(parts, explained));
            unexplained.removeAll(explained);
        }
    }

    /** Returns what the crashes show of each part that no answer has cleared. */
    private static List<Evidence> collect(
            List<ServerCrash> crashes, Function<RequestTrait, OptionalLong> cleared) {
        // Sorted, so that all entries find the same patterns from the same crashes.
        Map<RequestTrait, Evidence> evidence = new TreeMap<>();
        for (int number = 0; number < crashes.size(); number++) {
            ServerCrash crash = crashes.get(number);
            for (BrokenRun run : crash.brokenWork()) {
                RequestTraits request = run.request();
                for (int index = 0; index < request.traits().size(); index++) {
                    RequestTrait trait = request.traits().get(index);
                    // The last part is the request's own, as are the traits of the whole request.
                    if (trait.kind() == Kind.PROMPT_PART && !request.isLastPart(index)) {
                        evidence.computeIfAbsent(trait, Evidence::new)
                                .add(crash, number, run, request.isOuterPart(index));
                    }
                }
            }
        }
        evidence.values()
                .forEach(found -> cleared.apply(found.part).ifPresent(found::removeBefore));
        return evidence.values().stream().filter(found -> !found.crashes.isEmpty()).toList();
    }
}
