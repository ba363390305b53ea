package dev.foxtailshed.daemon.internal.direct;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.PromptParts;
import dev.foxtailshed.kernel.suspects.CrashPattern;
import dev.foxtailshed.kernel.suspects.CrashingParts;
import dev.foxtailshed.kernel.suspects.ServerCrash;
import java.time.Clock;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

/**
 * Keeps requests whose prompts crash model servers away from them, together with the other entries.
 *
 * <p>Crashes and their refutations are sent to the other entries at once. The crashes of the
 * patterns in force are also in this entry's membership record, for entries that start later or
 * missed a notice. Runs on the entry's loop.
 */
final class CrashGuard implements CrashDetector.Listener, EntryMembership.Attachment {

    /** Crashes of a pattern that the membership record has; enough for others to find it. */
    private static final int CRASHES_IN_RECORD = 4;

    private static final int PATTERNS_IN_RECORD = 8;

    /** Longest time until other entries are told that parts are no longer suspected. */
    private static final long MAXIMUM_DELAY_MILLIS = 200;

    private static final String SERVER = "server";
    private static final String STARTED = "started";
    private static final String CRASHED_EPOCH_MILLIS = "crashedEpochMillis";
    private static final String PARTS = "parts";

    private final DirectContext context;
    private final Clock clock;
    private final Consumer<CrashNotice> notices;
    private final ToIntFunction<Set<String>> trialRank;
    private final CrashDetector detector;
    private final CrashingParts parts = new CrashingParts();

    /** Parts that are no longer suspected, of which the other entries have not been told yet. */
    private final Set<String> unannounced = new LinkedHashSet<>();

    /**
     * Creates the guard.
     *
     * @param context the shared dependencies
     * @param controlClient calls servers that may have crashed
     * @param clock the time of day, for the times in the membership record
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

    /** Whether a request may be sent to a model server. */
    enum Admission {
        /** The request matches no pattern. */
        ADMITTED,
        /** The request matches a pattern, and may run once to find out whether it still crashes. */
        TRIAL,
        /** The request matches a pattern. */
        BLOCKED
    }

    /** Decides whether a request may be sent to a model server. */
    Admission admit(CallerRequest request) {
        Optional<CrashPattern> match =
                parts.findMatch(request.attributes().promptParts(), nowMillis());
        if (match.isEmpty()) {
            return Admission.ADMITTED;
        }
        boolean trial =
                parts.tryTrial(match.get(), trialRank.applyAsInt(match.get().parts()), nowMillis());
        EventLog.log(
                trial ? EventCode.CRASH_PATTERN_TRIAL : EventCode.CRASH_PATTERN_MATCHED,
                Field.of("request", request.id()),
                Field.of("parts", match.get().parts()),
                Field.of("crashes", match.get().crashes().size()),
                Field.of("lastCrashAgeMillis", nowMillis() - match.get().lastCrashMillis()));
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
        Set<String> cleared = applyStart(request.attributes().promptParts(), nowMillis());
        if (cleared.isEmpty()) {
            return;
        }
        boolean scheduled = !unannounced.isEmpty();
        unannounced.addAll(cleared);
        if (!scheduled) {
            long beganMillis = nowMillis();
            long delayMillis = (long) (MAXIMUM_DELAY_MILLIS * context.random().getAsDouble());
            context.schedule(delayMillis, () -> announceStarts(beganMillis));
        }
    }

    private void announceStarts(long beganMillis) {
        if (!unannounced.isEmpty()) {
            PromptParts cleared = new PromptParts(List.copyOf(unannounced));
            unannounced.clear();
            notices.accept(new CrashNotice.Began(cleared, nowMillis() - beganMillis));
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
                Field.of(SERVER, server.id()),
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
            unannounced.removeAll(began.parts().ids());
            applyStart(began.parts(), observedMillis);
        }
    }

    private void applyCrash(ServerCrash crash) {
        for (CrashPattern pattern : parts.recordCrash(crash, nowMillis())) {
            EventLog.log(
                    EventCode.CRASH_PATTERN_FOUND,
                    Field.of(PARTS, pattern.parts()),
                    Field.of("crashes", pattern.crashes().size()),
                    Field.of("lastServer", crash.server().id()));
        }
    }

    private Set<String> applyStart(PromptParts prompt, long beganMillis) {
        List<CrashPattern> before = parts.patterns();
        Set<String> cleared = parts.recordStart(prompt, beganMillis, nowMillis());
        for (CrashPattern pattern : before) {
            if (pattern.parts().stream().anyMatch(cleared::contains)) {
                EventLog.log(
                        EventCode.CRASH_PATTERN_REFUTED,
                        Field.of(PARTS, pattern.parts()),
                        Field.of("began", cleared),
                        Field.of("crashes", pattern.crashes().size()));
            }
        }
        return cleared;
    }

    @Override
    public JsonElement toJson() {
        JsonArray json = new JsonArray();
        parts.patterns().stream()
                .limit(PATTERNS_IN_RECORD)
                .forEach(pattern -> addCrashes(pattern, json));
        return json;
    }

    private void addCrashes(CrashPattern pattern, JsonArray json) {
        List<ServerCrash> crashes = pattern.crashes();
        for (ServerCrash crash :
                crashes.subList(Math.max(0, crashes.size() - CRASHES_IN_RECORD), crashes.size())) {
            JsonObject entry = new JsonObject();
            entry.addProperty(SERVER, crash.server().id());
            entry.addProperty(STARTED, crash.server().startedEpochMillis());
            entry.addProperty(
                    CRASHED_EPOCH_MILLIS, clock.millis() - (nowMillis() - crash.crashedMillis()));
            JsonArray ids = new JsonArray();
            crash.prompts().stream()
                    .filter(prompt -> prompt.containsAll(pattern.parts()))
                    .findFirst()
                    .ifPresent(prompt -> prompt.ids().forEach(ids::add));
            entry.add(PARTS, ids);
            json.add(entry);
        }
    }

    @Override
    public void merge(JsonElement json) {
        for (JsonElement element : json.getAsJsonArray()) {
            JsonObject entry = element.getAsJsonObject();
            long ageMillis =
                    Math.max(0, clock.millis() - entry.get(CRASHED_EPOCH_MILLIS).getAsLong());
            if (ageMillis > CrashingParts.RETENTION_MILLIS) {
                continue;
            }
            List<String> ids = new ArrayList<>();
            entry.get(PARTS).getAsJsonArray().forEach(id -> ids.add(id.getAsString()));
            applyCrash(
                    new ServerCrash(
                            new Incarnation(
                                    entry.get(SERVER).getAsString(),
                                    entry.get(STARTED).getAsLong()),
                            nowMillis() - ageMillis,
                            List.of(new PromptParts(ids))));
        }
    }

    /** Returns the number of patterns in force. May be called from any thread. */
    int patternCount() {
        return parts.patterns().size();
    }

    private long nowMillis() {
        return context.timer().nowMillis();
    }
}
