package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.direct.PromptParts;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which requests must not reach model servers, since a part of their prompts crashes each
 * server that begins to answer them.
 *
 * <p>Example: <code>parts.recordCrash(crash, nowMillis); parts.findMatch(prompt, nowMillis)</code>.
 *
 * <p>Load pattern: requests with such a part come at all entries, no two alike, so each entry sees
 * only a few of the crashes. Entries exchange the crashes and come to the same decision without a
 * coordinator. A part of which an answer has begun after a crash did not cause it. A decision ends
 * when an answer begins in spite of it: requests in flight may show that, and one trial is granted
 * after a time that grows with the number of crashes. Not thread-safe.
 */
public final class CrashingParts {

    /** Age at which a crash is no longer taken into account. */
    public static final long RETENTION_MILLIS = 600_000;

    /** Time without a crash, for each crash explained, after which a trial is granted. */
    private static final long TRIAL_DELAY_MILLIS_PER_CRASH = 20_000;

    /** Time between the trials of two entries; a crash is known at all of them much sooner. */
    private static final long TRIAL_INTERVAL_MILLIS = 1_000;

    private static final int MAXIMUM_CRASHES = 64;
    private static final int MAXIMUM_PROMPTS_PER_CRASH = 32;

    /** Parts whose last start is remembered, for crashes that are reported late. */
    private static final int MAXIMUM_RECENT_STARTS = 2_048;

    /** The crashes on record, oldest first. */
    private final List<ServerCrash> crashes = new ArrayList<>();

    /** When answers to prompts with the parts of the recorded crashes last began. */
    private final Map<String, Long> startedMillis = new HashMap<>();

    private final Map<String, Long> recentStartsMillis = new RecentStarts();
    private final Map<Set<String>, Long> trialMillis = new HashMap<>();
    private volatile List<CrashPattern> patterns = List.of();

    /**
     * Records the crash of a server, or further prompts of a known crash.
     *
     * @param crash the crash
     * @param nowMillis the current time
     * @return the patterns that were not known before
     */
    public List<CrashPattern> recordCrash(ServerCrash crash, long nowMillis) {
        int known = indexOf(crash);
        if (known < 0) {
            crashes.add(limitPrompts(crash, crash.prompts()));
            crashes.sort(Comparator.comparingLong(ServerCrash::crashedMillis));
        } else {
            Set<PromptParts> all = new LinkedHashSet<>(crashes.get(known).prompts());
            if (!all.addAll(crash.prompts())) {
                return List.of();
            }
            crashes.set(known, limitPrompts(crashes.get(known), all));
        }
        for (PromptParts prompt : crash.prompts()) {
            for (String part : prompt.ids()) {
                Optional.ofNullable(recentStartsMillis.get(part))
                        .ifPresent(began -> startedMillis.merge(part, began, Math::max));
            }
        }
        while (crashes.size() > MAXIMUM_CRASHES) {
            crashes.remove(0);
        }
        return update(nowMillis);
    }

    /**
     * Records that a server has begun an answer, so that no part of its prompt crashes servers.
     *
     * @param prompt the parts of the prompt
     * @param beganMillis when the first event arrived
     * @param nowMillis the current time
     * @return the parts that had been suspected of a crash and are no longer
     */
    public Set<String> recordStart(PromptParts prompt, long beganMillis, long nowMillis) {
        Set<String> cleared = new LinkedHashSet<>();
        for (String part : prompt.ids()) {
            recentStartsMillis.merge(part, beganMillis, Math::max);
            if (isSuspectedBefore(part, beganMillis)) {
                cleared.add(part);
                startedMillis.merge(part, beganMillis, Math::max);
            }
        }
        if (!cleared.isEmpty()) {
            update(nowMillis);
        }
        return cleared;
    }

    /**
     * Returns the pattern that a request matches.
     *
     * @param prompt the parts of the request's prompt
     * @param nowMillis the current time
     * @return the pattern, empty if the request may be sent to servers
     */
    public Optional<CrashPattern> findMatch(PromptParts prompt, long nowMillis) {
        if (patterns.isEmpty() || prompt.ids().isEmpty()) {
            return Optional.empty();
        }
        removeExpired(nowMillis);
        return patterns.stream().filter(pattern -> prompt.containsAll(pattern.parts())).findFirst();
    }

    /**
     * Grants one request of a pattern a trial, if its last crash and trial are long enough ago.
     *
     * @param pattern the pattern
     * @param rank the number of entries that may grant a trial before this one
     * @param nowMillis the current time
     * @return whether the request may be sent to a server
     */
    public boolean tryTrial(CrashPattern pattern, int rank, long nowMillis) {
        long delayMillis =
                TRIAL_DELAY_MILLIS_PER_CRASH * pattern.crashes().size()
                        + TRIAL_INTERVAL_MILLIS * rank;
        long lastMillis =
                Math.max(
                        pattern.lastCrashMillis(),
                        trialMillis.getOrDefault(pattern.parts(), Long.MIN_VALUE));
        if (nowMillis - lastMillis < delayMillis) {
            return false;
        }
        trialMillis.put(pattern.parts(), nowMillis);
        return true;
    }

    /**
     * Returns the patterns in force. May be called from any thread.
     *
     * @return the patterns, those with the most crashes first
     */
    public List<CrashPattern> patterns() {
        return patterns;
    }

    private List<CrashPattern> update(long nowMillis) {
        Set<Set<String>> before = partsOf(patterns);
        Set<String> known = new HashSet<>();
        before.forEach(known::addAll);
        crashes.removeIf(crash -> nowMillis - crash.crashedMillis() > RETENTION_MILLIS);
        startedMillis.keySet().removeIf(part -> !isInCrash(part));
        patterns = List.copyOf(CrashPatternFinder.find(crashes, this::maySuspect, known));
        Set<Set<String>> after = partsOf(patterns);
        trialMillis.keySet().retainAll(after);
        return patterns.stream().filter(pattern -> !before.contains(pattern.parts())).toList();
    }

    private void removeExpired(long nowMillis) {
        boolean expired =
                crashes.stream().anyMatch(c -> nowMillis - c.crashedMillis() > RETENTION_MILLIS);
        if (expired) {
            update(nowMillis);
        }
    }

    private boolean maySuspect(String part, ServerCrash crash) {
        return startedMillis.getOrDefault(part, Long.MIN_VALUE) <= crash.crashedMillis();
    }

    private boolean isSuspectedBefore(String part, long beganMillis) {
        return crashes.stream()
                .filter(crash -> crash.crashedMillis() < beganMillis && maySuspect(part, crash))
                .flatMap(crash -> crash.prompts().stream())
                .anyMatch(prompt -> prompt.ids().contains(part));
    }

    private boolean isInCrash(String part) {
        return crashes.stream()
                .flatMap(crash -> crash.prompts().stream())
                .anyMatch(prompt -> prompt.ids().contains(part));
    }

    private int indexOf(ServerCrash crash) {
        for (int i = 0; i < crashes.size(); i++) {
            if (crashes.get(i).server().equals(crash.server())) {
                return i;
            }
        }
        return -1;
    }

    private static Set<Set<String>> partsOf(List<CrashPattern> patterns) {
        Set<Set<String>> parts = new LinkedHashSet<>();
        patterns.forEach(pattern -> parts.add(pattern.parts()));
        return parts;
    }

    private static ServerCrash limitPrompts(ServerCrash crash, Collection<PromptParts> prompts) {
        return new ServerCrash(
                crash.server(),
                crash.crashedMillis(),
                prompts.stream().distinct().limit(MAXIMUM_PROMPTS_PER_CRASH).toList());
    }

    /** A map that evicts the parts that have not been started for the longest time. */
    private static final class RecentStarts extends LinkedHashMap<String, Long> {
        private static final long serialVersionUID = 1L;

        RecentStarts() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAXIMUM_RECENT_STARTS;
        }
    }
}
