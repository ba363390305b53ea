package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.suspects.RequestTrait.Kind;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides which requests must not reach servers, since a trait of theirs crashes each server that
 * begins to answer them, or gets to some event of the answer: a part of the prompt, or the request
 * itself.
 *
 * <p>Example: <code>traits.recordCrash(crash, nowMillis); traits.findMatches(request)</code>.
 *
 * <p>Such requests come at all entries, so each entry sees only a few of the crashes. Entries
 * exchange the crashes and come to the same {@link CrashPattern} without a coordinator. A trait of
 * which an answer has begun after a crash did not cause it, if the request had no answer at the
 * time of the crash; a request that was being answered needs a complete answer for that, and a part
 * of its prompt an answer that gets further than those which the crash broke off. A pattern ends
 * when such an answer comes in spite of it: requests in flight may show that, and a trial is
 * granted after a time that doubles with each crash. Not thread-safe.
 */
public final class CrashingTraits {

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
    private static final int MAXIMUM_REQUESTS_PER_CRASH = 64;
    private static final int MAXIMUM_RUNS_PER_CRASH = 64;

    /**
     * Time before a crash within which an answer shows that a whole request did not cause it. This
     * keeps requests that many callers send from being blamed while all servers of a service crash
     * for another reason, and none is left to refute it. Parts of prompts get no such benefit.
     */
    private static final long RECENT_ANSWER_MILLIS = 15_000;

    /** The crashes on record, oldest first. */
    private final List<ServerCrash> crashes = new ArrayList<>();

    /** When answers to requests with the traits of the recorded crashes last began. */
    private final Map<RequestTrait, Long> startedMillis = new HashMap<>();

    private final Map<RequestTrait, Long> recentStartsMillis = new RecentTraits<>();

    /** When the whole requests that the recorded crashes broke off were last answered. */
    private final Map<RequestTrait, Long> endedMillis = new HashMap<>();

    private final Map<RequestTrait, Long> recentEndsMillis = new RecentTraits<>();

    private final SuspectedParts suspectedParts = new SuspectedParts();
    private final Map<Set<RequestTrait>, Long> trialMillis = new HashMap<>();
    private volatile List<CrashPattern> patterns = List.of();

    /**
     * Records the crash of a server, or further requests of a known crash.
     *
     * @param crash the crash
     * @param nowMillis the current time
     * @return the patterns that were not known before
     */
    public List<CrashPattern> recordCrash(ServerCrash crash, long nowMillis) {
        int known = indexOf(crash);
        if (known < 0) {
            crashes.add(limit(crash, crash.crashedMillis(), crash.requests(), crash.runs()));
        } else {
            ServerCrash existing = crashes.get(known);
            Set<BrokenRun> all = new LinkedHashSet<>(existing.requests());
            Set<BrokenRun> allRuns = new LinkedHashSet<>(existing.runs());
            boolean moreRequests = all.addAll(crash.requests()) | allRuns.addAll(crash.runs());
            if (!moreRequests && crash.crashedMillis() >= existing.crashedMillis()) {
                return List.of();
            }
            // A crash cannot be observed before it happens, so the earliest report is the best.
            long crashedMillis = Math.min(existing.crashedMillis(), crash.crashedMillis());
            crashes.set(known, limit(existing, crashedMillis, all, allRuns));
        }
        crashes.sort(Comparator.comparingLong(ServerCrash::crashedMillis));
        for (BrokenRun run : crash.requests()) {
            for (RequestTrait trait : run.request().traits()) {
                Long began = recentStartsMillis.get(trait);
                if (began != null) {
                    startedMillis.merge(trait, began, Math::max);
                }
            }
        }
        for (BrokenRun run : crash.runs()) {
            for (RequestTrait trait : run.request().traits()) {
                Long ended = recentEndsMillis.get(trait);
                if (ended != null) {
                    endedMillis.merge(trait, ended, Math::max);
                }
            }
        }
        return update(nowMillis);
    }

    /**
     * Returns the traits of a crash that an earlier answer refutes, which other entries may not
     * know of.
     *
     * @param crash a recorded crash
     * @return the traits and when their last answers began, which {@link #recordStart} takes
     */
    public Map<RequestTrait, Long> findEarlierAnswers(ServerCrash crash) {
        Map<RequestTrait, Long> answers = new HashMap<>();
        for (BrokenRun run : crash.requests()) {
            for (RequestTrait trait : run.request().traits()) {
                Long began = recentStartsMillis.get(trait);
                if (began != null
                        && began <= crash.crashedMillis()
                        && refutes(trait, began, crash)) {
                    answers.put(trait, began);
                }
            }
        }
        return answers;
    }

    /**
     * Records that a server has begun an answer, so that no trait of its request caused an earlier
     * crash.
     *
     * @param traits the traits that did not crash the server
     * @param beganMillis when the response or the first event arrived
     * @param nowMillis the current time
     * @return the traits that had been suspected of a crash and are no longer
     */
    public Set<RequestTrait> recordStart(
            Collection<RequestTrait> traits, long beganMillis, long nowMillis) {
        Set<RequestTrait> cleared = new LinkedHashSet<>();
        for (RequestTrait trait : traits) {
            recentStartsMillis.merge(trait, beganMillis, Math::max);
            if (isRefuted(trait, beganMillis)) {
                cleared.add(trait);
                startedMillis.merge(trait, beganMillis, Math::max);
            }
        }
        if (!cleared.isEmpty()) {
            update(nowMillis);
        }
        return cleared;
    }

    /**
     * Returns the whole requests that a crash broke off, not for the first time, although they had
     * been answered completely shortly before, which other entries may not know of.
     *
     * @param crash a recorded crash
     * @return the traits and when their last answers ended, which {@link #recordEnd} takes
     */
    public Map<RequestTrait, Long> findEarlierEnds(ServerCrash crash) {
        Map<RequestTrait, Long> ends = new HashMap<>();
        for (BrokenRun run : crash.runs()) {
            for (RequestTrait trait : run.request().traits()) {
                Long ended = recentEndsMillis.get(trait);
                if (ended != null
                        && ended <= crash.crashedMillis()
                        && refutesRun(ended, crash)
                        && isInSeveralBrokenRuns(trait)) {
                    ends.put(trait, ended);
                }
            }
        }
        return ends;
    }

    /**
     * Records that a request was answered completely, so that it crashed no server while it was
     * answered.
     *
     * @param traits the traits of the request
     * @param ended when the answer ended
     * @param nowMillis the current time
     * @return the traits that had been suspected of several crashes and are no longer; other
     *     entries need not know of one crash, after which most requests are retried and answered
     */
    public Set<RequestTrait> recordEnd(
            Collection<RequestTrait> traits, long ended, long nowMillis) {
        Set<RequestTrait> cleared = new LinkedHashSet<>();
        for (RequestTrait trait : traits) {
            if (trait.kind() == Kind.PROMPT_PART) {
                continue;
            }
            recentEndsMillis.merge(trait, ended, Math::max);
            if (isSuspectedRunRefuted(trait, ended)) {
                cleared.add(trait);
                endedMillis.merge(trait, ended, Math::max);
            }
        }
        if (!cleared.isEmpty()) {
            update(nowMillis);
        }
        cleared.removeIf(trait -> !isInSeveralBrokenRuns(trait));
        return cleared;
    }

    /**
     * Records how far the answer to a request got, which shows that no part of its prompt crashes
     * servers up to there.
     *
     * @param traits the traits of the request
     * @param events the events that have arrived
     * @param beganMillis when the first of them arrived
     * @param nowMillis the current time
     * @return the parts that had been suspected of several crashes, at least one of which they did
     *     not cause
     */
    public Set<RequestTrait> recordProgress(
            Collection<RequestTrait> traits, int events, long beganMillis, long nowMillis) {
        Set<RequestTrait> cleared = suspectedParts.recordProgress(traits, events, beganMillis);
        if (!cleared.isEmpty()) {
            update(nowMillis);
        }
        return cleared;
    }

    /**
     * Records that the answer to a request ended, so that no part of its prompt crashes servers.
     *
     * @param traits the traits of the request
     * @param beganMillis when the answer began
     * @param nowMillis the current time
     * @return the parts, as {@link #recordProgress} returns them
     */
    public Set<RequestTrait> recordCompletion(
            Collection<RequestTrait> traits, long beganMillis, long nowMillis) {
        return recordProgress(traits, PartProgress.COMPLETE, beganMillis, nowMillis);
    }

    /**
     * Returns the parts of prompts that a crash broke off for the second time, although they did
     * not cause the crash before, which other entries may not know of.
     *
     * @param crash a recorded crash
     * @return the parts and the times that {@link #recordCompletion} takes
     */
    public Map<RequestTrait, Long> findEarlierProgress(ServerCrash crash) {
        return suspectedParts.findClearedOfFirstCrash(crash);
    }

    /**
     * Returns the time before which no crash was caused by a part of prompts.
     *
     * @param part the part
     * @return the time in milliseconds, empty if the part is not cleared of any crash
     */
    public OptionalLong clearedMillis(RequestTrait part) {
        return suspectedParts.clearedMillis(part);
    }

    /**
     * Returns the patterns that a request matches.
     *
     * @param request the traits of the request
     * @return the patterns, empty if the request may be sent to servers
     */
    public List<CrashPattern> findMatches(RequestTraits request) {
        if (patterns.isEmpty()) {
            return List.of();
        }
        return patterns.stream().filter(pattern -> request.containsAll(pattern.traits())).toList();
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
                        trialMillis.getOrDefault(pattern.traits(), Long.MIN_VALUE));
        if (nowMillis - lastMillis < delayMillis) {
            return false;
        }
        trialMillis.put(pattern.traits(), nowMillis);
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
     * Returns when an answer to a request with a trait last began, if the trait was in a crash on
     * record.
     *
     * @param trait the trait
     * @return the time in milliseconds, empty if no answer is known
     */
    public OptionalLong startedMillis(RequestTrait trait) {
        Long began = startedMillis.get(trait);
        return began == null ? OptionalLong.empty() : OptionalLong.of(began);
    }

    private List<CrashPattern> update(long nowMillis) {
        Set<Set<RequestTrait>> before = traitsOf(patterns);
        Set<RequestTrait> known = new HashSet<>();
        before.forEach(known::addAll);
        removeOldCrashes(nowMillis);
        startedMillis.keySet().removeIf(trait -> !isInCrash(trait));
        endedMillis.keySet().removeIf(trait -> !isInBrokenRun(trait));
        patterns = findPatterns(known);
        Set<Set<RequestTrait>> after = traitsOf(patterns);
        trialMillis.keySet().retainAll(after);
        return patterns.stream().filter(pattern -> !before.contains(pattern.traits())).toList();
    }

    private List<CrashPattern> findPatterns(Set<RequestTrait> known) {
        List<CrashPattern> found =
                new ArrayList<>(CrashPatternFinder.find(crashes, this::maySuspect, known));
        List<CrashPattern> ofBrokenRuns =
                new ArrayList<>(BrokenRunPatternFinder.find(crashes, this::mayBlameRun));
        ofBrokenRuns.addAll(suspectedParts.update(crashes));
        for (CrashPattern pattern : ofBrokenRuns) {
            if (found.stream().noneMatch(other -> other.traits().equals(pattern.traits()))) {
                found.add(pattern);
            }
        }
        return List.copyOf(found);
    }

    /**
     * Removes old crashes, and the oldest ones beyond the maximum number.
     *
     * <p>Those of a pattern stay as long as the last of them, since the pattern of fewer crashes
     * could have more traits and match fewer requests.
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

    private boolean maySuspect(RequestTrait trait, ServerCrash crash) {
        Long began = startedMillis.get(trait);
        return began == null || !refutes(trait, began, crash);
    }

    private boolean mayBlameRun(RequestTrait trait, ServerCrash crash) {
        Long ended = endedMillis.get(trait);
        return ended == null || !refutesRun(ended, crash);
    }

    /** Returns whether an answer that ended at a time shows that its request caused no crash. */
    private static boolean refutesRun(long ended, ServerCrash crash) {
        return ended + RECENT_ANSWER_MILLIS >= crash.crashedMillis();
    }

    /** Returns whether an answer that began at a time shows that a trait did not cause a crash. */
    private static boolean refutes(RequestTrait trait, long beganMillis, ServerCrash crash) {
        return trait.kind() == Kind.PROMPT_PART
                ? beganMillis > crash.crashedMillis()
                : beganMillis + RECENT_ANSWER_MILLIS >= crash.crashedMillis();
    }

    /** Returns whether an answer that began at a time refutes a suspicion of a trait. */
    private boolean isRefuted(RequestTrait trait, long beganMillis) {
        return crashes.stream()
                .filter(crash -> refutes(trait, beganMillis, crash) && maySuspect(trait, crash))
                .flatMap(crash -> crash.requests().stream())
                .anyMatch(run -> run.request().traits().contains(trait));
    }

    /** Returns whether an answer that ended at a time refutes a suspicion of a broken run. */
    private boolean isSuspectedRunRefuted(RequestTrait trait, long ended) {
        return crashes.stream()
                .filter(crash -> refutesRun(ended, crash) && mayBlameRun(trait, crash))
                .flatMap(crash -> crash.runs().stream())
                .anyMatch(run -> run.request().traits().contains(trait));
    }

    private boolean isInCrash(RequestTrait trait) {
        return crashes.stream()
                .flatMap(crash -> crash.requests().stream())
                .anyMatch(run -> run.request().traits().contains(trait));
    }

    private boolean isInBrokenRun(RequestTrait trait) {
        return countBrokenRuns(trait) > 0;
    }

    private boolean isInSeveralBrokenRuns(RequestTrait trait) {
        return countBrokenRuns(trait) > 1;
    }

    private long countBrokenRuns(RequestTrait trait) {
        return crashes.stream()
                .flatMap(crash -> crash.runs().stream())
                .filter(run -> run.request().traits().contains(trait))
                .count();
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

    private static Set<Set<RequestTrait>> traitsOf(List<CrashPattern> patterns) {
        Set<Set<RequestTrait>> traits = new LinkedHashSet<>();
        patterns.forEach(pattern -> traits.add(pattern.traits()));
        return traits;
    }

    private static ServerCrash limit(
            ServerCrash crash,
            long crashedMillis,
            Collection<BrokenRun> requests,
            Collection<BrokenRun> runs) {
        return new ServerCrash(
                crash.server(),
                crashedMillis,
                BrokenRun.latestOfEachRequest(requests).stream()
                        .limit(MAXIMUM_REQUESTS_PER_CRASH)
                        .toList(),
                BrokenRun.latestOfEachRequest(runs).stream()
                        .limit(MAXIMUM_RUNS_PER_CRASH)
                        .toList());
    }
}
