package dev.foxtailshed.daemon.internal.direct;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.suspects.BrokenRun;
import dev.foxtailshed.kernel.suspects.CrashPattern;
import dev.foxtailshed.kernel.suspects.CrashingTraits;
import dev.foxtailshed.kernel.suspects.RequestTrait;
import dev.foxtailshed.kernel.suspects.RequestTraits;
import dev.foxtailshed.kernel.suspects.ServerCrash;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

/**
 * Keeps requests that crash servers away from them, together with the other entries.
 *
 * <p>Crashes and their refutations are sent to the other entries at once. The evidence of the
 * patterns in force is handed to entries that ask for it, and is in the membership records of a few
 * entries, for when all of them restart. Runs on the entry's loop.
 */
final class CrashGuard implements CrashDetector.Listener, EntryMembership.Attachment {

    /** Crashes that suffice for another entry to find a pattern. */
    private static final int CRASHES_PER_PATTERN = 5;

    private static final int REQUESTS_PER_CRASH = 2;
    private static final int MAXIMUM_PATTERNS = 8;

    /**
     * Entries that have a pattern in their membership records, in the order of trials; records are
     * read by all entries, so that each one with a copy would cost too much.
     */
    private static final int ENTRIES_WITH_RECORD = 3;

    /** Age at which a membership record is too old, as a pattern may have ended since. */
    private static final long MAXIMUM_RECORD_AGE_MILLIS = 30_000;

    private static final long EXPIRY_PERIOD_MILLIS = 10_000;
    private static final String WRITTEN_EPOCH_MILLIS = "writtenEpochMillis";
    private static final String NOTICES = "notices";
    private static final String TRAITS_FIELD = "traits";
    private static final String CRASHES_FIELD = "crashes";

    private final DirectContext context;
    private final Clock clock;
    private final Consumer<CrashNotice> notices;
    private final ToIntFunction<Set<String>> trialRank;
    private final CrashDetector detector;
    private final CrashingTraits crashingTraits = new CrashingTraits();

    /** Announces traits with which an answer has begun. */
    private final ClearanceAnnouncer beganAnnouncer;

    /** Announces parts of prompts to which an answer got further than those of crashed servers. */
    private final ClearanceAnnouncer progressAnnouncer;

    private volatile Evidence evidence = new Evidence(List.of(), 0);

    /**
     * Creates the guard.
     *
     * @param context the shared dependencies
     * @param controlClient calls servers that may have crashed
     * @param clock the time of day, for the age of membership records
     * @param notices sends notices to the other entries
     * @param trialRank the rank of this entry for the trial of a pattern with these labels
     */
    CrashGuard(
            DirectContext context,
            EngineControlClient controlClient,
            Clock clock,
            Consumer<CrashNotice> notices,
            ToIntFunction<Set<String>> trialRank) {
        this.context = context;
        this.clock = clock;
        this.notices = notices;
        this.trialRank = trialRank;
        this.detector = new CrashDetector(context, controlClient, this);
        this.beganAnnouncer =
                new ClearanceAnnouncer(
                        context,
                        (traits, ageMillis) ->
                                notices.accept(new CrashNotice.Began(traits, ageMillis)));
        this.progressAnnouncer =
                new ClearanceAnnouncer(
                        context,
                        (traits, ageMillis) ->
                                notices.accept(new CrashNotice.Ended(traits, ageMillis)));
    }

    /** Notices that let another entry find the patterns in force, with the time of their ages. */
    private record Evidence(List<CrashNotice> notices, long collectedMillis) {}

    /** Whether a request may be sent to a server. */
    enum Admission {
        /** The request matches no pattern. */
        ADMITTED,
        /** The request matches a pattern, and may run once to find out whether it still crashes. */
        TRIAL,
        /** The request matches a pattern. */
        BLOCKED
    }

    void start() {
        context.timer().every(EXPIRY_PERIOD_MILLIS, () -> context.runOnLoop(this::removeExpired));
    }

    private void removeExpired() {
        crashingTraits.expire(nowMillis());
        updateEvidence();
    }

    /**
     * Decides whether a request may be sent to a server.
     *
     * @param id the id of the request
     * @param request the traits of the request
     * @param trialMillis when the request was granted a trial, which holds until the next crash
     */
    Admission admit(String id, RequestTraits request, OptionalLong trialMillis) {
        List<CrashPattern> matches = crashingTraits.findMatches(request);
        if (matches.isEmpty()) {
            return Admission.ADMITTED;
        }
        CrashPattern pattern = matches.get(0);
        boolean trial =
                trialMillis.isPresent()
                        ? pattern.lastCrashMillis() < trialMillis.getAsLong()
                        : matches.size() == 1
                                && crashingTraits.tryTrial(
                                        pattern,
                                        trialRank.applyAsInt(pattern.labels()),
                                        nowMillis());
        if (trial && trialMillis.isPresent()) {
            return Admission.TRIAL;
        }
        EventLog.log(
                trial ? EventCode.CRASH_PATTERN_TRIAL : EventCode.CRASH_PATTERN_MATCHED,
                Field.of("request", id),
                Field.of(TRAITS_FIELD, pattern.labels()),
                Field.of(CRASHES_FIELD, pattern.crashes().size()),
                Field.of("lastCrashAgeMillis", nowMillis() - pattern.lastCrashMillis()));
        return trial ? Admission.TRIAL : Admission.BLOCKED;
    }

    /** Records the beginning of the answer to a request, and tells others if that clears it. */
    void recordStart(RequestTraits request) {
        long beganMillis = nowMillis();
        Set<RequestTrait> cleared = applyStart(request.traits(), beganMillis);
        if (!cleared.isEmpty()) {
            beganAnnouncer.announce(cleared, beganMillis);
        }
    }

    /**
     * Records how far the answer to a request got, and tells others if that clears parts of its
     * prompt.
     *
     * @param request the traits of the request
     * @param events the events of the answer that have arrived
     * @param beganMillis when the first of them arrived
     */
    void recordProgress(RequestTraits request, int events, long beganMillis) {
        List<CrashPattern> before = crashingTraits.patterns();
        announceProgress(
                crashingTraits.recordProgress(request.traits(), events, beganMillis, nowMillis()),
                before);
    }

    /** Announces the parts that an answer clears, with the times before which they are. */
    private void announceProgress(Set<RequestTrait> cleared, List<CrashPattern> before) {
        recordCleared(cleared, before);
        for (RequestTrait part : cleared) {
            crashingTraits
                    .clearedMillis(part)
                    .ifPresent(millis -> progressAnnouncer.announce(Set.of(part), millis));
        }
    }

    /**
     * Records that a server broke off a request before it began to answer it.
     *
     * <p>A server that is leaving may end like this without a crash, so it blames no request.
     */
    void recordBrokenStart(BrokenRun run, DirectServer server) {
        if (!isLeaving(server)) {
            detector.recordBrokenStart(server, run);
        }
    }

    /** Records that a server that is not leaving broke off a request that it was answering. */
    void recordBrokenRun(BrokenRun run, DirectServer server) {
        if (!isLeaving(server)) {
            detector.recordBrokenRun(server, run);
        }
    }

    private boolean isLeaving(DirectServer server) {
        return context.view().servers().forService(server.service()).stream()
                .noneMatch(other -> other.incarnation().equals(server.incarnation()));
    }

    /**
     * Records that a request was answered completely, and tells others if that clears it.
     *
     * @param request the traits of the request
     * @param beganMillis when the answer began
     */
    void recordEnd(RequestTraits request, long beganMillis) {
        long endedMillis = nowMillis();
        List<CrashPattern> before = crashingTraits.patterns();
        announceProgress(
                crashingTraits.recordCompletion(request.traits(), beganMillis, endedMillis),
                before);
        Set<RequestTrait> cleared = applyEnd(request.traits(), endedMillis);
        if (!cleared.isEmpty()) {
            announceEnd(cleared, endedMillis);
        }
    }

    private void announceEnd(Set<RequestTrait> cleared, long endedMillis) {
        notices.accept(new CrashNotice.Ended(List.copyOf(cleared), nowMillis() - endedMillis));
    }

    @Override
    public void onCrash(DirectServer server, long crashedMillis, CrashDetector.BrokenWork work) {
        long ageMillis = nowMillis() - crashedMillis;
        EventLog.log(
                EventCode.SERVER_CRASHED,
                Field.of("server", server.id()),
                Field.of("requests", work.requests().stream().map(CrashGuard::describe).toList()),
                Field.of("runs", work.runs().stream().map(CrashGuard::describe).toList()),
                Field.of("ageMillis", ageMillis));
        applyCrash(
                new ServerCrash(server.incarnation(), crashedMillis, work.requests(), work.runs()));
        notices.accept(
                new CrashNotice.Crashed(
                        server.incarnation(), work.requests(), work.runs(), ageMillis));
    }

    /** Returns the traits of a run, and the event and the time at which it was broken off. */
    private static String describe(BrokenRun run) {
        return labels(run.request()) + "@" + run.events() + "/" + run.durationMillis() + "ms";
    }

    private static List<String> labels(RequestTraits request) {
        return request.traits().stream().map(RequestTrait::label).toList();
    }

    /** Applies a notice of another entry. */
    void onNotice(CrashNotice notice) {
        long observedMillis = nowMillis() - notice.ageMillis();
        if (notice instanceof CrashNotice.Crashed crashed) {
            applyCrash(
                    new ServerCrash(
                            crashed.server(), observedMillis, crashed.requests(), crashed.runs()));
        } else if (notice instanceof CrashNotice.Began began) {
            beganAnnouncer.onAnnounced(began.traits());
            applyStart(began.traits(), observedMillis);
        } else if (notice instanceof CrashNotice.Ended ended) {
            progressAnnouncer.onAnnounced(ended.traits());
            List<CrashPattern> before = crashingTraits.patterns();
            recordCleared(
                    crashingTraits.recordCompletion(ended.traits(), observedMillis, nowMillis()),
                    before);
            applyEnd(ended.traits(), observedMillis);
        }
    }

    /** Returns the evidence of the patterns in force. May be called from any thread. */
    List<CrashNotice> evidence() {
        Evidence current = evidence;
        long ageMillis = Math.max(0, nowMillis() - current.collectedMillis());
        return current.notices().stream().map(notice -> notice.olderBy(ageMillis)).toList();
    }

    /** Returns the number of patterns in force. May be called from any thread. */
    int patternCount() {
        return crashingTraits.patterns().size();
    }

    private void applyCrash(ServerCrash crash) {
        for (CrashPattern pattern : crashingTraits.recordCrash(crash, nowMillis())) {
            EventLog.log(
                    EventCode.CRASH_PATTERN_FOUND,
                    Field.of(TRAITS_FIELD, pattern.labels()),
                    Field.of(CRASHES_FIELD, pattern.crashes().size()),
                    Field.of("lastServer", crash.server().id()));
        }
        crashingTraits
                .findEarlierAnswers(crash)
                .forEach((trait, began) -> beganAnnouncer.announce(Set.of(trait), began));
        crashingTraits
                .findEarlierEnds(crash)
                .forEach((trait, ended) -> announceEnd(Set.of(trait), ended));
        crashingTraits
                .findEarlierProgress(crash)
                .forEach((part, millis) -> progressAnnouncer.announce(Set.of(part), millis));
        updateEvidence();
    }

    private Set<RequestTrait> applyStart(List<RequestTrait> traits, long beganMillis) {
        List<CrashPattern> before = crashingTraits.patterns();
        Set<RequestTrait> cleared = crashingTraits.recordStart(traits, beganMillis, nowMillis());
        recordCleared(cleared, before);
        return cleared;
    }

    private Set<RequestTrait> applyEnd(List<RequestTrait> traits, long endedMillis) {
        List<CrashPattern> before = crashingTraits.patterns();
        Set<RequestTrait> cleared = crashingTraits.recordEnd(traits, endedMillis, nowMillis());
        recordCleared(cleared, before);
        return cleared;
    }

    private void recordCleared(Set<RequestTrait> cleared, List<CrashPattern> before) {
        for (CrashPattern pattern : before) {
            if (pattern.traits().stream().anyMatch(cleared::contains)) {
                EventLog.log(
                        EventCode.CRASH_PATTERN_REFUTED,
                        Field.of(TRAITS_FIELD, pattern.labels()),
                        Field.of("began", cleared.stream().map(RequestTrait::label).toList()),
                        Field.of(CRASHES_FIELD, pattern.crashes().size()));
            }
        }
        if (!cleared.isEmpty()) {
            updateEvidence();
        }
    }

    /**
     * Collects the latest crashes of the patterns, and before them the traits that are cleared, so
     * that another entry blames the same traits.
     */
    private void updateEvidence() {
        long nowMillis = nowMillis();
        Set<RequestTrait> seenTraits = new LinkedHashSet<>();
        List<CrashNotice> crashes = new ArrayList<>();
        for (CrashPattern pattern :
                crashingTraits.patterns().stream().limit(MAXIMUM_PATTERNS).toList()) {
            int count = pattern.crashes().size();
            for (ServerCrash crash :
                    pattern.crashes().subList(Math.max(0, count - CRASHES_PER_PATTERN), count)) {
                List<BrokenRun> requests =
                        crash.requests().stream()
                                .filter(
                                        run ->
                                                run.request().traits().stream()
                                                        .anyMatch(pattern.traits()::contains))
                                .limit(REQUESTS_PER_CRASH)
                                .toList();
                List<BrokenRun> runs =
                        crash.runs().stream()
                                .filter(run -> run.request().containsAll(pattern.traits()))
                                .limit(REQUESTS_PER_CRASH)
                                .toList();
                requests.forEach(run -> seenTraits.addAll(run.request().traits()));
                runs.forEach(run -> seenTraits.addAll(run.request().traits()));
                crashes.add(
                        new CrashNotice.Crashed(
                                crash.server(), requests, runs, nowMillis - crash.crashedMillis()));
            }
        }
        List<CrashNotice> all = new ArrayList<>();
        for (RequestTrait trait : seenTraits) {
            crashingTraits
                    .startedMillis(trait)
                    .ifPresent(
                            began ->
                                    all.add(
                                            new CrashNotice.Began(
                                                    List.of(trait), nowMillis - began)));
            crashingTraits
                    .clearedMillis(trait)
                    .ifPresent(
                            cleared ->
                                    all.add(
                                            new CrashNotice.Ended(
                                                    List.of(trait), nowMillis - cleared)));
        }
        all.addAll(crashes);
        evidence = new Evidence(List.copyOf(all), nowMillis);
    }

    @Override
    public JsonElement toJson() {
        boolean keepsRecord =
                crashingTraits.patterns().stream()
                        .anyMatch(p -> trialRank.applyAsInt(p.labels()) < ENTRIES_WITH_RECORD);
        byte[] encoded = CrashNotice.encode(keepsRecord ? evidence() : List.of());
        JsonObject json = new JsonObject();
        json.addProperty(WRITTEN_EPOCH_MILLIS, clock.millis());
        json.addProperty(NOTICES, Base64.getEncoder().encodeToString(encoded));
        return json;
    }

    @Override
    public void merge(JsonElement json) {
        JsonObject record = json.getAsJsonObject();
        long ageMillis = Math.max(0, clock.millis() - record.get(WRITTEN_EPOCH_MILLIS).getAsLong());
        if (ageMillis <= MAXIMUM_RECORD_AGE_MILLIS) {
            byte[] encoded = Base64.getDecoder().decode(record.get(NOTICES).getAsString());
            CrashNotice.decode(encoded).forEach(notice -> onNotice(notice.olderBy(ageMillis)));
        }
    }

    private long nowMillis() {
        return context.timer().nowMillis();
    }
}
