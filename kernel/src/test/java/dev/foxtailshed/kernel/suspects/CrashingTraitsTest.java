package dev.foxtailshed.kernel.suspects;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.PromptParts;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which traits of requests are blamed for crashes, and when the blame ends. */
class CrashingTraitsTest {

    private static final String DEADLY = "deadly";
    private static final long HOUR_MILLIS = 3_600_000;

    /** The duration of a run that a server breaks off soon after it was sent. */
    private static final long RUN_MILLIS = 100;

    private final CrashingTraits traits = new CrashingTraits();
    private int servers;

    private static RequestTraits prompt(String... ids) {
        return RequestTraits.ofPrompt(new PromptParts(Arrays.asList(ids)));
    }

    private void crash(long atMillis, RequestTraits... prompts) {
        crashOf("s" + ++servers, atMillis, atMillis, prompts);
    }

    private void crashOf(String server, long atMillis, long nowMillis, RequestTraits... prompts) {
        List<BrokenRun> runs =
                Stream.of(prompts).map(prompt -> new BrokenRun(prompt, 0, RUN_MILLIS)).toList();
        traits.recordCrash(new ServerCrash(new Incarnation(server, 1), atMillis, runs), nowMillis);
    }

    private static RequestTraits request(String content, String caller) {
        return RequestTraits.of(PromptParts.NONE, content, caller + "/" + content);
    }

    private boolean blocks(long nowMillis, String... ids) {
        return blocks(nowMillis, prompt(ids));
    }

    private boolean blocks(long nowMillis, RequestTraits request) {
        traits.expire(nowMillis);
        return !traits.findMatches(request).isEmpty();
    }

    @Test
    void blocksThePartThatTwoCrashesHaveInCommon() {
        crash(0, prompt("a", DEADLY, "r1"), prompt("x", "r2"));
        assertThat(blocks(1, "a", DEADLY, "r3")).isFalse();

        crash(1_000, prompt("b", DEADLY, "r4"), prompt("y", "r5"));

        assertThat(blocks(1_001, "c", DEADLY, "r6")).isTrue();
        assertThat(blocks(1_001, "a", "r7")).isFalse();
        assertThat(blocks(1_001, "x", "r8")).isFalse();
    }

    @Test
    void servesRequestsThatShareOnlyTheFirstPart() {
        crash(0, prompt("first", DEADLY, "r1"));
        crash(1_000, prompt("first", DEADLY, "r2"));

        assertThat(blocks(1_001, "first", DEADLY, "r3")).isTrue();
        assertThat(blocks(1_001, "first", "r4")).isFalse();
        assertThat(blocks(1_001, "other", DEADLY, "r5")).isFalse();

        traits.recordStart(prompt("first", "r4").traits(), 1_200, 1_200);

        assertThat(blocks(1_201, "other", DEADLY, "r5")).isTrue();
    }

    /**
     * Two deadly parts, or one and a server lost for another reason, behind the same first part.
     */
    @ParameterizedTest
    @CsvSource({"second", "harmless"})
    void doesNotBlameTheFirstPartForTwoCrashes(String other) {
        crash(0, prompt("first", DEADLY, "r1"));
        crash(1_000, prompt("first", other, "r2"));

        assertThat(blocks(1_001, "first", "r3")).isFalse();
        assertThat(blocks(1_001, "first", "third", "r4")).isFalse();
    }

    @Test
    void findsTwoDeadlyPartsBehindTheSameFirstPart() {
        crash(0, prompt("first", DEADLY, "r1"));
        crash(1_000, prompt("first", DEADLY, "r2"));
        crash(5_000, prompt("first", "second", "r3"));
        assertThat(blocks(5_001, "first", "r4")).isFalse();
        assertThat(blocks(5_001, "first", DEADLY, "r4")).isTrue();

        crash(6_000, prompt("first", "second", "r5"));

        assertThat(blocks(6_001, "first", DEADLY, "r6")).isTrue();
        assertThat(blocks(6_001, "first", "second", "r7")).isTrue();
        assertThat(blocks(6_001, "first", "r8")).isFalse();
    }

    @Test
    void findsTwoDeadlyPartsOneAfterTheOther() {
        crash(0, prompt("a", DEADLY, "r1"));
        crash(1_000, prompt("b", DEADLY, "r2"));
        crash(5_000, prompt("a", "second", "r3"));
        crash(6_000, prompt("c", "second", "r4"));

        assertThat(blocks(6_001, "d", DEADLY, "r5")).isTrue();
        assertThat(blocks(6_001, "d", "second", "r6")).isTrue();
        assertThat(blocks(6_001, "d", "r7")).isFalse();
    }

    @Test
    void answerThatBeganAfterTheCrashClearsItsParts() {
        crash(0, prompt("f1", "popular", "r1"));
        traits.recordStart(prompt("f2", "popular", "r2").traits(), 100, 100);
        crash(1_000, prompt("f3", "popular", "r3"));
        assertThat(blocks(1_001, "f4", "popular", "r4")).isFalse();

        crash(2_000, prompt("f5", "popular", "r5"));
        assertThat(blocks(2_001, "f6", "popular", "r6")).isTrue();
        assertThat(traits.recordStart(prompt("f4", "popular", "r4").traits(), 2_100, 2_100))
                .containsExactly(RequestTrait.promptPart("popular"));
        assertThat(blocks(2_101, "f6", "popular", "r6")).isFalse();
    }

    @Test
    void answerThatBeganBeforeTheCrashClearsNothing() {
        traits.recordStart(prompt("f0", DEADLY, "r0").traits(), -10, -10);
        crash(0, prompt("f1", DEADLY, "r1"));
        crash(1_000, prompt("f2", DEADLY, "r2"));

        assertThat(blocks(1_001, "f3", DEADLY, "r3")).isTrue();
    }

    @Test
    void answerThatBeganBeforeALateReportClearsItsParts() {
        traits.recordStart(prompt("f0", "popular", "r0").traits(), 1_100, 1_100);
        crash(0, prompt("f1", "popular", "r1"));
        crash(1_000, prompt("f2", "popular", "r2"));

        assertThat(blocks(1_200, "f3", "popular", "r3")).isFalse();
    }

    /** A server loss retries harmless requests at the next server, which a deadly part crashes. */
    @Test
    void doesNotBlameRequestsThatWereRetriedBesideTheDeadlyPart() {
        RequestTraits retried = prompt("f", "rare", "r1");
        crash(0, prompt("a", DEADLY, "r2"), retried);
        crash(1_000, prompt("b", DEADLY, "r3"), retried);
        assertThat(blocks(1_001, "f", "rare", "r1")).isFalse();

        crash(2_000, prompt("c", DEADLY, "r4"));

        assertThat(blocks(2_001, "d", DEADLY, "r5")).isTrue();
        assertThat(blocks(2_001, "f", "rare", "r1")).isFalse();
    }

    @Test
    void serversThatAreLostTogetherBlameNothing() {
        IntStream.range(0, 6).forEach(i -> crash(i * 30L, prompt("f" + i, "popular", "r" + i)));

        assertThat(blocks(400, "f", "popular", "r9")).isFalse();
    }

    /** Guards against blame of a request that ran at several servers when all were lost. */
    @ParameterizedTest
    @CsvSource({"400, 400, false", "400, 250, false", "100, 100, true", "2000, 100, true"})
    void requestThatRanAtServersLostTogetherIsBlamedOnlyIfRetried(
            long firstRunMillis, long secondRunMillis, boolean blamed) {
        RequestTraits request = request("t", "alice");
        long[] runs = {firstRunMillis, secondRunMillis};
        for (int i = 0; i < runs.length; i++) {
            traits.recordCrash(
                    new ServerCrash(
                            new Incarnation("s" + i, 1),
                            120 * i,
                            List.of(new BrokenRun(request, 0, runs[i]))),
                    120 * i);
        }

        assertThat(blocks(121, request)).isEqualTo(blamed);
    }

    /** The retry of a request crashed a second server within the time of a common cause. */
    @Test
    void blocksTheRequestThatCrashedTwoServersInAMoment() {
        RequestTraits retried = prompt("f", DEADLY, "r1");
        crash(0, retried);
        crash(120, retried);

        assertThat(blocks(121, "f", DEADLY, "r1")).isTrue();
        assertThat(blocks(121, "f", DEADLY, "r2")).isFalse();
    }

    @Test
    void reportsOfTheSameCrashCountOnceAtTheEarliestTime() {
        crash(0, prompt("f1", DEADLY, "r1"));
        crashOf("late", 700, 700, prompt("f2", DEADLY, "r2"));
        crashOf("late", 50, 800, prompt("f2", DEADLY, "r2"));

        assertThat(blocks(801, "f3", DEADLY, "r3")).isFalse();
    }

    /** The list of servers may not have the next incarnation yet while the store is away. */
    @Test
    void laterCrashesOfAServerCountAlsoUnderItsOldIncarnation() {
        crashOf("same", 0, 0, prompt("f1", DEADLY, "r1"));
        crashOf("same", 4_000, 4_000, prompt("f2", DEADLY, "r2"));

        assertThat(blocks(4_001, "f3", DEADLY, "r3")).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"first, x, 2, false", "first, x, 3, true", "x, last, 2, false", "x, last, 3, true"})
    void blamesTheFirstOrTheLastPartAfterThreeCrashes(
            String first, String last, int crashes, boolean blocked) {
        for (int i = 0; i < crashes; i++) {
            crash(
                    i * 1_000L,
                    prompt(first.equals("x") ? "x" + i : first, last.equals("x") ? "y" + i : last));
        }

        assertThat(blocks(10_000, first, last)).isEqualTo(blocked);
    }

    @Test
    void blocksTheRequestOfACallerAfterTwoCrashes() {
        crash(0, request("t", "alice"));
        assertThat(blocks(1, request("t", "alice"))).isFalse();
        crash(1_000, request("t", "alice"), request("other", "bob"));

        assertThat(blocks(1_001, request("t", "alice"))).isTrue();
        assertThat(blocks(1_001, request("t", "bob"))).isFalse();
        assertThat(blocks(1_001, request("other", "bob"))).isFalse();
    }

    /** Each try crashes two servers, and each comes from another address. */
    @Test
    void blocksTheContentThatSeveralCallersSend() {
        for (int i = 0; i < 4; i++) {
            crash(i * 1_000L - i % 2 * 900, request("t", "caller" + i / 2));
        }

        assertThat(blocks(5_000, request("t", "another"))).isTrue();
        assertThat(blocks(5_000, request("other", "caller0"))).isFalse();
    }

    @Test
    void answerToAnotherCallerClearsTheContentOnly() {
        crash(0, request("t", "alice"));
        crash(1_000, request("t", "alice"));
        traits.recordStart(request("t", "bob").traits(), 1_100, 1_100);

        assertThat(blocks(1_101, request("t", "alice"))).isTrue();
        assertThat(blocks(1_101, request("t", "bob"))).isFalse();
    }

    /** All servers of a service are lost one after the other while many callers ask the same. */
    @ParameterizedTest
    @CsvSource({"-1000, false", "-20000, true"})
    void answerShortlyBeforeTheCrashesClearsTheRequest(long answeredMillis, boolean blocked) {
        traits.recordStart(request("t", "alice").traits(), answeredMillis, answeredMillis);
        IntStream.range(0, 4).forEach(i -> crash(i * 1_000L, request("t", "alice")));

        assertThat(blocks(4_000, request("t", "alice"))).isEqualTo(blocked);
    }

    /** A harmless request was retried beside the one that crashes servers, and is served then. */
    @Test
    void answerTellsTheHarmlessRequestFromTheOneThatCrashedBesideIt() {
        crash(0, request("t", "alice"), request("harmless", "bob"));
        crash(100, request("t", "alice"), request("harmless", "bob"));
        assertThat(blocks(101, request("harmless", "bob"))).isFalse();

        traits.recordStart(request("harmless", "bob").traits(), 200, 200);

        assertThat(blocks(201, request("t", "alice"))).isTrue();
        assertThat(blocks(201, request("harmless", "bob"))).isFalse();
    }

    @Test
    void grantsOneTrialAfterATimeThatDoublesWithEachCrash() {
        crash(0, prompt("f1", DEADLY, "r1"));
        crash(1_000, prompt("f2", DEADLY, "r2"));
        CrashPattern pattern = traits.patterns().get(0);

        assertThat(traits.tryTrial(pattern, 0, 40_999)).isFalse();
        assertThat(traits.tryTrial(pattern, 1, 41_000)).isFalse();
        assertThat(traits.tryTrial(pattern, 0, 41_000)).isTrue();
        assertThat(traits.tryTrial(pattern, 0, 41_001)).isFalse();

        crash(41_100, prompt("f3", DEADLY, "r3"));
        assertThat(traits.tryTrial(traits.patterns().get(0), 0, 121_099)).isFalse();
        assertThat(traits.tryTrial(traits.patterns().get(0), 0, 121_100)).isTrue();
    }

    @Test
    void atMostThreeTrialsCrashServersWithinAnHourAfterTheFifthCrash() {
        IntStream.range(0, 5).forEach(i -> crash(i * 1_000L, prompt("f" + i, DEADLY, "r" + i)));
        int trials = 0;
        for (long now = 5_000; now < HOUR_MILLIS; now += 1_000) {
            traits.expire(now);
            if (traits.tryTrial(traits.patterns().get(0), 0, now)) {
                trials++;
                crash(now + 100, prompt("g" + now, DEADLY, "t" + now));
            }
        }
        assertThat(trials).isBetween(1, 3);
    }

    @Test
    void forgetsOldCrashes() {
        crash(0, prompt("f1", DEADLY, "r1"));
        assertThat(blocks(HOUR_MILLIS, "f2", DEADLY, "r2")).isFalse();
        crash(HOUR_MILLIS, prompt("f2", DEADLY, "r2"));
        assertThat(blocks(HOUR_MILLIS + 1, "f3", DEADLY, "r3")).isFalse();

        crash(HOUR_MILLIS + 1_000, prompt("f3", DEADLY, "r3"));
        assertThat(blocks(3 * HOUR_MILLIS, "f4", DEADLY, "r4")).isTrue();
        assertThat(blocks(3 * HOUR_MILLIS + 1_001, "f4", DEADLY, "r4")).isFalse();
    }

    /** With fewer crashes, parts that were not in all of them would be blamed together with it. */
    @Test
    void expiryDoesNotLetFurtherRequestsThrough() {
        crash(0, prompt("b", DEADLY, "r1"));
        crash(1_000, prompt("a", DEADLY, "r2"));
        crash(500_000, prompt("a", DEADLY, "r3"));

        assertThat(blocks(700_000, "c", DEADLY, "r4")).isTrue();
    }

    @Test
    void otherCrashesDoNotEvictThoseOfAPattern() {
        crash(0, prompt("f1", DEADLY, "r1"));
        crash(1_000, prompt("f2", DEADLY, "r2"));
        IntStream.range(0, 100).forEach(i -> crash(2_000 + i * 300L, prompt("x" + i, "y" + i)));

        assertThat(blocks(40_000, "f3", DEADLY, "r3")).isTrue();
    }
}
