package dev.foxtailshed.kernel.suspects;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.PromptParts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which requests {@link BrokenRunPatternFinder} blames that servers were answering when they
 * crashed.
 */
class BrokenRunTest {

    private static final RequestTraits DEADLY = request("deadly", "caller");
    private static final RequestTraits SOUND = request("sound", "caller");

    /** The duration of a run where it makes no difference. */
    private static final long RUN_MILLIS = 1_000;

    private final CrashingTraits traits = new CrashingTraits();
    private int servers;

    private static RequestTraits request(String content, String caller) {
        return RequestTraits.of(
                new PromptParts(List.of("first", "last-" + content)),
                content,
                caller + "-" + content);
    }

    /** Returns the traits without the parts of the prompt, which other tests look at. */
    private static RequestTraits wholeRequest(RequestTraits request) {
        return new RequestTraits(
                request.traits().stream()
                        .filter(trait -> trait.kind() != RequestTrait.Kind.PROMPT_PART)
                        .toList());
    }

    private void crash(long atMillis, BrokenRun... runs) {
        traits.recordCrash(
                new ServerCrash(
                        new Incarnation("s" + servers++, 1), atMillis, List.of(), List.of(runs)),
                atMillis);
    }

    private static BrokenRun run(RequestTraits request, int events) {
        return run(request, events, RUN_MILLIS);
    }

    private static BrokenRun run(RequestTraits request, int events, long durationMillis) {
        return new BrokenRun(wholeRequest(request), events, durationMillis);
    }

    private boolean isBlocked(RequestTraits request) {
        return !traits.findMatches(request).isEmpty();
    }

    /** Guards against a request that crashes each server after it has begun the answer. */
    @ParameterizedTest
    @CsvSource({
        // events at which the runs of one request were broken off, whether it is blamed
        "1 1, false",
        "1 1 1, true",
        "1 2 1, true",
        "1 2 3, false",
        "1 2 3 2, true",
        "40 42 41, false",
        "40 42 41 40, true",
        "40 46 41 40, false",
        "7 7 30, false",
        "10 30 60 20, false",
        "10 30 60 20 45, true",
        "50 2 2 2, true",
        "0 0 0, false",
        "1 0 1 0, false",
        "9 0 9 0 9, true",
        "1 0 1 0 1, true"
    })
    void requestIsBlamedForCrashesAtTheSameEventOrForMany(String events, boolean blamed) {
        long atMillis = 0;
        for (String text : events.split(" ")) {
            atMillis += 3_000;
            crash(atMillis, run(DEADLY, Integer.parseInt(text)));
        }

        assertThat(isBlocked(DEADLY)).isEqualTo(blamed);
        assertThat(isBlocked(SOUND)).isFalse();
    }

    /**
     * Guards against blame of a caller's concurrent requests with the same content, each at another
     * server, when all servers are lost at once.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 40})
    void serversLostTogetherBlameNoRequest(int events) {
        for (int i = 0; i < 6; i++) {
            crash(20 * i, run(SOUND, events, 900 + 20 * i), run(SOUND, events + 1, 1_000));
        }

        assertThat(isBlocked(SOUND)).isFalse();
    }

    /** The request crashes each server within the time in which others may have a common cause. */
    @ParameterizedTest
    @CsvSource({"100, 90, 3", "100, 120, 3", "150, 10, 3", "60, 100, 3", "20, 80, 5"})
    void requestThatIsSentAgainAtOnceIsBlamed(
            long intervalMillis, long durationMillis, int expectedCrashes) {
        int crashes = 0;
        while (!isBlocked(DEADLY) && crashes < 20) {
            crash(intervalMillis * crashes++, run(DEADLY, 1, durationMillis));
        }

        assertThat(crashes).isEqualTo(expectedCrashes);
    }

    /** Two requests with the same content crash two servers at once, again and again. */
    @Test
    void concurrentDeadlyRequestsAreBlamedAfterThreeSeparateCrashes() {
        for (int i = 0; i < 3; i++) {
            assertThat(isBlocked(DEADLY)).isFalse();
            crash(3_000 * i, run(DEADLY, 1));
            crash(3_000 * i + 5, run(DEADLY, 1));
        }

        assertThat(isBlocked(DEADLY)).isTrue();
    }

    @Test
    void requestsThatRanBesideTheDeadlyOneAreServed() {
        for (int i = 0; i < 6; i++) {
            crash(
                    3_000 * i,
                    run(DEADLY, 1),
                    run(request("other-" + i, "caller"), 1),
                    // Retried beside the deadly one, and broken off at the same event.
                    run(SOUND, i < 3 ? 1 : 50));
        }

        assertThat(isBlocked(DEADLY)).isTrue();
        assertThat(isBlocked(SOUND)).isFalse();
        assertThat(isBlocked(request("other-1", "caller"))).isFalse();
    }

    /** A request that many callers send is answered, also shortly before the crashes. */
    @ParameterizedTest
    @CsvSource({"-14000, false", "-16000, true", "7000, false"})
    void completeAnswerClearsTheRequest(long endedMillis, boolean blamed) {
        if (endedMillis < 0) {
            traits.recordEnd(DEADLY.traits(), endedMillis, endedMillis);
        }
        for (int i = 0; i < 3; i++) {
            crash(300 * i, run(DEADLY, 2));
        }
        if (endedMillis > 0) {
            assertThat(isBlocked(DEADLY)).isTrue();
            assertThat(traits.recordEnd(DEADLY.traits(), endedMillis, endedMillis)).isNotEmpty();
        }

        assertThat(isBlocked(DEADLY)).isEqualTo(blamed);
    }

    /** Guards against a notice to all entries for each request that a crash broke off. */
    @Test
    void onlyRequestsSuspectedOfSeveralCrashesAreReportedAsCleared() {
        crash(0, run(DEADLY, 5), run(SOUND, 9));
        assertThat(traits.recordEnd(SOUND.traits(), 1_000, 1_000)).isEmpty();
        crash(3_000, run(DEADLY, 30));
        assertThat(traits.recordEnd(DEADLY.traits(), 4_000, 4_000))
                .containsExactlyInAnyOrderElementsOf(wholeRequest(DEADLY).traits());
    }

    @Test
    void answerThatOnlyBeganClearsNothing() {
        for (int i = 0; i < 3; i++) {
            traits.recordStart(DEADLY.traits(), 3_000 * i + 1, 3_000 * i + 1);
            crash(3_000 * i + 10, run(DEADLY, 1));
        }

        assertThat(isBlocked(DEADLY)).isTrue();
    }

    @Test
    void contentThatSeveralCallersSendIsBlamedAfterFiveCrashes() {
        for (int i = 0; i < 4; i++) {
            crash(3_000 * i, run(request("deadly", "caller-" + i), 1));
        }
        assertThat(isBlocked(request("deadly", "caller-9"))).isFalse();
        crash(12_000, run(request("deadly", "caller-4"), 1));

        assertThat(isBlocked(request("deadly", "caller-9"))).isTrue();
    }

    @Test
    void trialIsGrantedAndItsAnswerEndsThePattern() {
        for (int i = 0; i < 3; i++) {
            crash(3_000 * i, run(DEADLY, 1));
        }
        List<CrashPattern> matches = traits.findMatches(DEADLY);
        assertThat(matches).hasSize(1);
        assertThat(traits.tryTrial(matches.get(0), 0, 10_000)).isFalse();
        assertThat(traits.tryTrial(matches.get(0), 0, 90_000)).isTrue();

        traits.recordEnd(DEADLY.traits(), 91_000, 91_000);
        assertThat(isBlocked(DEADLY)).isFalse();
    }

    /**
     * Guards against blame of sound streams while servers are killed: streams of 72 events run at
     * four servers, one of which is killed every second or two; each stream is sent again as often
     * as callers and entries do.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void killsBlameNoSoundStream(long seed) {
        Random random = new Random(seed);
        Map<String, Stream> running = new HashMap<>();
        int next = 0;
        long nextKillMillis = 2_000;
        List<String> blamed = new ArrayList<>();
        for (long now = 0; now < 600_000; now += 20) {
            if (random.nextInt(10) == 0) {
                running.put("r" + next++, new Stream(random.nextInt(4)));
            }
            for (Map.Entry<String, Stream> entry : new ArrayList<>(running.entrySet())) {
                if (++entry.getValue().events >= 72) {
                    running.remove(entry.getKey());
                    traits.recordEnd(request(entry.getKey(), "c").traits(), now, now);
                }
            }
            if (now >= nextKillMillis) {
                nextKillMillis = now + 1_000 + random.nextInt(1_000);
                int killed = random.nextInt(4);
                List<BrokenRun> broken = new ArrayList<>();
                for (Map.Entry<String, Stream> entry : new ArrayList<>(running.entrySet())) {
                    Stream stream = entry.getValue();
                    if (stream.server == killed) {
                        broken.add(run(request(entry.getKey(), "c"), Math.max(0, stream.events)));
                        if (!stream.retry(random)) {
                            running.remove(entry.getKey());
                        }
                    }
                }
                crash(now, broken.toArray(BrokenRun[]::new));
                traits.patterns().forEach(pattern -> blamed.addAll(pattern.labels()));
            }
        }

        assertThat(next).isGreaterThan(2_000);
        assertThat(blamed).isEmpty();
    }

    /** A stream of a caller that sends it twice, each time to two servers at most. */
    private static final class Stream {
        private int server;
        private int events;
        private int attempts = 1;

        Stream(int server) {
            this.server = server;
        }

        boolean retry(Random random) {
            server = (server + 1 + random.nextInt(3)) % 4;
            // Reading the prompt again takes some time.
            events = -5 - random.nextInt(20);
            return ++attempts <= 4;
        }
    }
}
