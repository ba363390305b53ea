package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.direct.PromptParts;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides which requests must not reach model servers, since a part of their prompts crashes each
 * server that begins to answer them.
 *
 * <p>Example: <code>parts.recordCrash(crash, nowMillis); parts.findMatches(prompt)</code>.
 *
 * <p>Requests with such a part come at all entries, no two alike, so each entry sees only a few of
 * the crashes. Entries exchange the crashes and come to the same {@link CrashPattern} without a
 * coordinator. A part of which an answer has begun after a crash did not cause it. A pattern ends
 * when an answer begins in spite of it: requests in flight may show that, and a trial is granted
 * after a time that doubles with each crash. Not thread-safe.
 */
public final class CrashingParts {

    /** Age at which a crash that no pattern explains is no longer taken into account. */
    private static final long RETENTION_MILLIS = 600_000;

    /** Age of its last crash at which a pattern ends. */
    private static final long PATTERN_RETENTION_MILLIS = 7_200_000;

    /** Time without a crash after which a trial of a pattern of two crashes is granted. */
    private static final long FIRST_TRIAL_DELAY_MILLIS = 40_000;

    private static final long MAXIMUM_TRIAL_DELAY_MILLIS = 3_600_000;

    /** Time between the trials of two entries; longer than a trial takes to show its outcome. */
    private static final long TRIAL_INTERVAL_MILLIS = 3_000;

    /** Reports of one server within this time are of the same crash; a restart takes longer. */
    private static final long SAME_CRASH_MILLIS = 3_000;

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
            crashes.add(limitPrompts(crash, crash.crashedMillis(), crash.prompts()));
        } else {
            ServerCrash existing = crashes.get(known);
            Set<PromptParts> all = new LinkedHashSet<>(existing.prompts());
            boolean morePrompts = all.addAll(crash.prompts());
            if (!morePrompts && crash.crashedMillis() >= existing.crashedMillis()) {
                return List.of();
            }
            // A crash cannot be observed before it happens, so the earliest report is the best.
            long crashedMillis = Math.min(existing.crashedMillis(), crash.crashedMillis());
            crashes.set(known, limitPrompts(existing, crashedMillis, all));
        }
        crashes.sort(Comparator.comparingLong(ServerCrash::crashedMillis));
        for (PromptParts prompt : crash.prompts()) {
            for (String part : prompt.ids()) {
                Long began = recentStartsMillis.get(part);
                if (began != null) {
                    startedMillis.merge(part, began, Math::max);
                }
            }
        }
        return update(nowMillis);
    }

    /**
     * Records that a server has begun an answer, so that no part of its prompt caused an earlier
     * crash.
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
     * Returns the patterns that a request matches.
     *
     * @param prompt the parts of the request's prompt
     * @return the patterns, empty if the request may be sent to servers
     */
    public List<CrashPattern> findMatches(PromptParts prompt) {
        if (patterns.isEmpty() || prompt.ids().isEmpty()) {
            return List.of();
        }
        return patterns.stream().filter(pattern -> prompt.containsAll(pattern.parts())).toList();
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
        int doublings = Math.min(pattern.crashes().size(), Integer.SIZE) - 2;
        long delayMillis =
                Math.min(MAXIMUM_TRIAL_DELAY_MILLIS, FIRST_TRIAL_DELAY_MILLIS << doublings)
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
     * Removes the crashes that are too old to be taken into account.
     *
     * @param nowMillis the current time
     */
    public void expire(long nowMillis) {
        if (!crashes.isEmpty()) {
            update(nowMillis);
        }
    }

    /**
     * Returns the patterns in force. May be called from any thread.
     *
     * @return the patterns
     */
    public List<CrashPattern> patterns() {
        return patterns;
    }

    /**
     * Returns when an answer to a prompt with a part last began, if the part was in a crash on
     * record.
     *
     * @param part the id of the part
     * @return the time in milliseconds, empty if no answer is known
     */
    public OptionalLong startedMillis(String part) {
        Long began = startedMillis.get(part);
        return began == null ? OptionalLong.empty() : OptionalLong.of(began);
    }

    private List<CrashPattern> update(long nowMillis) {
        Set<Set<String>> before = partsOf(patterns);
        Set<String> known = new HashSet<>();
        before.forEach(known::addAll);
        removeOldCrashes(nowMillis);
        startedMillis.keySet().removeIf(part -> !isInCrash(part));
        patterns = List.copyOf(CrashPatternFinder.find(crashes, this::maySuspect, known));
        Set<Set<String>> after = partsOf(patterns);
        trialMillis.keySet().retainAll(after);
        return patterns.stream().filter(pattern -> !before.contains(pattern.parts())).toList();
    }

    /**
     * Removes old crashes, and the oldest ones beyond the maximum number.
     *
     * <p>Those of a pattern stay as long as the last of them, since the pattern of fewer crashes
     * could have more parts and match fewer requests.
     */
    private void removeOldCrashes(long nowMillis) {
        Set<ServerCrash> explained = new HashSet<>();
        for (CrashPattern pattern : patterns) {
            if (nowMillis - pattern.lastCrashMillis() <= PATTERN_RETENTION_MILLIS) {
                explained.addAll(pattern.crashes());
            }
        }
        crashes.removeIf(
                crash ->
                        !explained.contains(crash)
                                && nowMillis - crash.crashedMillis() > RETENTION_MILLIS);
        // Evicts crashes that nothing explains first, the oldest ones before others.
        Iterator<ServerCrash> iterator = crashes.iterator();
        while (crashes.size() > MAXIMUM_CRASHES && iterator.hasNext()) {
            if (!explained.contains(iterator.next())) {
                iterator.remove();
            }
        }
        while (crashes.size() > MAXIMUM_CRASHES) {
            crashes.remove(0);
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
            ServerCrash other = crashes.get(i);
            long apartMillis = Math.abs(other.crashedMillis() - crash.crashedMillis());
            if (other.server().equals(crash.server()) && apartMillis < SAME_CRASH_MILLIS) {
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

    private static ServerCrash limitPrompts(
            ServerCrash crash, long crashedMillis, Collection<PromptParts> prompts) {
        return new ServerCrash(
                crash.server(),
                crashedMillis,
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
