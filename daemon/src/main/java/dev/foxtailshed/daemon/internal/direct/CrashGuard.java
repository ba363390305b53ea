package dev.foxtailshed.daemon.internal.direct;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.PromptParts;
import dev.foxtailshed.kernel.suspects.CrashPattern;
import dev.foxtailshed.kernel.suspects.CrashingParts;
import dev.foxtailshed.kernel.suspects.ServerCrash;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

/**
 * Keeps requests whose prompts crash model servers away from them, together with the other entries.
 *
 * <p>Crashes and their refutations are sent to the other entries at once. The evidence of the
 * patterns in force is handed to entries that ask for it, and is in the membership records of a few
 * entries, for when all of them restart. Runs on the entry's loop.
 */
final class CrashGuard implements CrashDetector.Listener, EntryMembership.Attachment {

    /**
     * Longest time until other entries are told that parts are no longer suspected; enough that one
     * of them does so first.
     */
    private static final long MAXIMUM_ANNOUNCE_DELAY_MILLIS = 200;

    /** Crashes that suffice for another entry to find a pattern. */
    private static final int CRASHES_PER_PATTERN = 4;

    private static final int PROMPTS_PER_CRASH = 2;
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
    private static final String PARTS_FIELD = "parts";
    private static final String CRASHES_FIELD = "crashes";

    private final DirectContext context;
    private final Clock clock;
    private final Consumer<CrashNotice> notices;
    private final ToIntFunction<Set<String>> trialRank;
    private final CrashDetector detector;
    private final CrashingParts crashingParts = new CrashingParts();

    /** Cleared parts that the other entries have not been told of. */
    private final List<Set<String>> unannounced = new ArrayList<>();

    private volatile Evidence evidence = new Evidence(List.of(), 0);

    /**
     * Creates the guard.
     *
     * @param context the shared dependencies
     * @param controlClient calls servers that may have crashed
     * @param clock the time of day, for the age of membership records
     * @param notices sends notices to the other entries
     * @param trialRank the rank of this entry for the trial of a pattern with these parts
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
    }

    /** Notices that let another entry find the patterns in force, with the time of their ages. */
    private record Evidence(List<CrashNotice> notices, long collectedMillis) {}

    /** Whether a request may be sent to a model server. */
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
        crashingParts.expire(nowMillis());
        updateEvidence();
    }

    /**
     * Decides whether a request may be sent to a model server.
     *
     * @param request the request
     * @param trialMillis when the request was granted a trial, which holds until the next crash
     */
    Admission admit(CallerRequest request, OptionalLong trialMillis) {
        List<CrashPattern> matches = crashingParts.findMatches(request.attributes().promptParts());
        if (matches.isEmpty()) {
            return Admission.ADMITTED;
        }
        CrashPattern pattern = matches.get(0);
        boolean trial =
                trialMillis.isPresent()
                        ? pattern.lastCrashMillis() < trialMillis.getAsLong()
                        : matches.size() == 1
                                && crashingParts.tryTrial(
                                        pattern,
                                        trialRank.applyAsInt(pattern.parts()),
                                        nowMillis());
        if (trial && trialMillis.isPresent()) {
            return Admission.TRIAL;
        }
        EventLog.log(
                trial ? EventCode.CRASH_PATTERN_TRIAL : EventCode.CRASH_PATTERN_MATCHED,
                Field.of("request", request.id()),
                Field.of(PARTS_FIELD, pattern.parts()),
                Field.of(CRASHES_FIELD, pattern.crashes().size()),
                Field.of("lastCrashAgeMillis", nowMillis() - pattern.lastCrashMillis()));
        return trial ? Admission.TRIAL : Admission.BLOCKED;
    }

    /**
     * Records the first event of the answer to a request.
     *
     * <p>If it clears parts of a suspicion, the other entries are told after a short random time,
     * unless another entry tells them first. So a part that is in many requests is not announced by
     * each entry.
     */
    void recordStart(CallerRequest request) {
        long beganMillis = nowMillis();
        Set<String> cleared =
                new HashSet<>(applyStart(request.attributes().promptParts(), beganMillis));
        if (cleared.isEmpty()) {
            return;
        }
        unannounced.add(cleared);
        long delayMillis = (long) (MAXIMUM_ANNOUNCE_DELAY_MILLIS * context.random().getAsDouble());
        context.schedule(delayMillis, () -> announce(cleared, beganMillis));
    }

    private void announce(Set<String> cleared, long beganMillis) {
        unannounced.removeIf(other -> other == cleared);
        if (!cleared.isEmpty()) {
            notices.accept(
                    new CrashNotice.Began(
                            new PromptParts(List.copyOf(cleared)), nowMillis() - beganMillis));
        }
    }

    /** Records that a server broke off a request before the first event. */
    void recordBrokenStart(CallerRequest request, DirectServer server) {
        PromptParts prompt = request.attributes().promptParts();
        if (!prompt.ids().isEmpty()) {
            detector.recordBrokenStart(server, prompt);
        }
    }

    @Override
    public void onCrash(DirectServer server, long crashedMillis, List<PromptParts> prompts) {
        long ageMillis = nowMillis() - crashedMillis;
        EventLog.log(
                EventCode.SERVER_CRASHED,
                Field.of("server", server.id()),
                Field.of("prompts", prompts.stream().map(PromptParts::ids).toList()),
                Field.of("ageMillis", ageMillis));
        applyCrash(new ServerCrash(server.incarnation(), crashedMillis, prompts));
        notices.accept(new CrashNotice.Crashed(server.incarnation(), prompts, ageMillis));
    }

    /** Applies a notice of another entry. */
    void onNotice(CrashNotice notice) {
        long observedMillis = nowMillis() - notice.ageMillis();
        if (notice instanceof CrashNotice.Crashed crashed) {
            applyCrash(new ServerCrash(crashed.server(), observedMillis, crashed.prompts()));
        } else if (notice instanceof CrashNotice.Began began) {
            unannounced.forEach(cleared -> cleared.removeAll(began.parts().ids()));
            applyStart(began.parts(), observedMillis);
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
        return crashingParts.patterns().size();
    }

    private void applyCrash(ServerCrash crash) {
        for (CrashPattern pattern : crashingParts.recordCrash(crash, nowMillis())) {
            EventLog.log(
                    EventCode.CRASH_PATTERN_FOUND,
                    Field.of(PARTS_FIELD, pattern.parts()),
                    Field.of(CRASHES_FIELD, pattern.crashes().size()),
                    Field.of("lastServer", crash.server().id()));
        }
        updateEvidence();
    }

    private Set<String> applyStart(PromptParts prompt, long beganMillis) {
        List<CrashPattern> before = crashingParts.patterns();
        Set<String> cleared = crashingParts.recordStart(prompt, beganMillis, nowMillis());
        for (CrashPattern pattern : before) {
            if (pattern.parts().stream().anyMatch(cleared::contains)) {
                EventLog.log(
                        EventCode.CRASH_PATTERN_REFUTED,
                        Field.of(PARTS_FIELD, pattern.parts()),
                        Field.of("began", cleared),
                        Field.of(CRASHES_FIELD, pattern.crashes().size()));
            }
        }
        if (!cleared.isEmpty()) {
            updateEvidence();
        }
        return cleared;
    }

    /**
     * Collects the latest crashes of the patterns, and before them the parts that are cleared, so
     * that another entry blames the same parts.
     */
    private void updateEvidence() {
        long nowMillis = nowMillis();
        Set<String> seenParts = new LinkedHashSet<>();
        List<CrashNotice> crashes = new ArrayList<>();
        for (CrashPattern pattern :
                crashingParts.patterns().stream().limit(MAXIMUM_PATTERNS).toList()) {
            int count = pattern.crashes().size();
            for (ServerCrash crash :
                    pattern.crashes().subList(Math.max(0, count - CRASHES_PER_PATTERN), count)) {
                List<PromptParts> prompts =
                        crash.prompts().stream()
                                .filter(
                                        prompt ->
                                                pattern.parts().stream()
                                                        .anyMatch(prompt.ids()::contains))
                                .limit(PROMPTS_PER_CRASH)
                                .toList();
                prompts.forEach(prompt -> seenParts.addAll(prompt.ids()));
                crashes.add(
                        new CrashNotice.Crashed(
                                crash.server(), prompts, nowMillis - crash.crashedMillis()));
            }
        }
        List<CrashNotice> all = new ArrayList<>();
        for (String part : seenParts) {
            crashingParts
                    .startedMillis(part)
                    .ifPresent(
                            began ->
                                    all.add(
                                            new CrashNotice.Began(
                                                    new PromptParts(List.of(part)),
                                                    nowMillis - began)));
        }
        all.addAll(crashes);
        evidence = new Evidence(List.copyOf(all), nowMillis);
    }

    @Override
    public JsonElement toJson() {
        boolean keepsRecord =
                crashingParts.patterns().stream()
                        .anyMatch(p -> trialRank.applyAsInt(p.parts()) < ENTRIES_WITH_RECORD);
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
