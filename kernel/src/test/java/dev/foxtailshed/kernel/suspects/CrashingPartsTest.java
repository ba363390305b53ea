package dev.foxtailshed.kernel.suspects;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.PromptParts;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which parts of prompts are blamed for crashes, and when the blame ends. */
class CrashingPartsTest {

    private static final String DEADLY = "deadly";

    private final CrashingParts parts = new CrashingParts();
    private int servers;

    private static PromptParts prompt(String... ids) {
        return new PromptParts(Arrays.asList(ids));
    }

    private void crash(long atMillis, PromptParts... prompts) {
        parts.recordCrash(
                new ServerCrash(new Incarnation("s" + ++servers, 1), atMillis, List.of(prompts)),
                atMillis);
    }

    private boolean blocks(long nowMillis, String... ids) {
        return parts.findMatch(prompt(ids), nowMillis).isPresent();
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

        parts.recordStart(prompt("first", "r4"), 1_200, 1_200);

        assertThat(blocks(1_201, "other", DEADLY, "r5")).isTrue();
    }

    @Test
    void answerThatBeganAfterTheCrashClearsItsParts() {
        crash(0, prompt("popular", "r1"));
        parts.recordStart(prompt("popular", "r2"), 100, 100);
        crash(1_000, prompt("popular", "r3"));
        assertThat(blocks(1_001, "popular", "r4")).isFalse();

        crash(2_000, prompt("popular", "r5"));
        assertThat(blocks(2_001, "popular", "r6")).isTrue();
        assertThat(parts.recordStart(prompt("popular", "r4"), 2_100, 2_100))
                .containsExactly("popular");
        assertThat(blocks(2_101, "popular", "r6")).isFalse();
    }

    @Test
    void answerThatBeganBeforeTheCrashClearsNothing() {
        parts.recordStart(prompt(DEADLY, "r0"), -10, -10);
        crash(0, prompt(DEADLY, "r1"));
        crash(1_000, prompt(DEADLY, "r2"));

        assertThat(blocks(1_001, DEADLY, "r3")).isTrue();
    }

    @Test
    void answerThatBeganBeforeALateReportClearsItsParts() {
        parts.recordStart(prompt("popular", "r0"), 1_100, 1_100);
        crash(0, prompt("popular", "r1"));
        crash(1_000, prompt("popular", "r2"));

        assertThat(blocks(1_200, "popular", "r3")).isFalse();
    }

    /** A server loss retries harmless requests at the next server, which a deadly part crashes. */
    @Test
    void doesNotBlameRequestsThatWereRetriedBesideTheDeadlyPart() {
        PromptParts retried = prompt("rare", "r1");
        crash(0, prompt("a", DEADLY, "r2"), retried);
        crash(1_000, prompt("b", DEADLY, "r3"), retried);
        assertThat(blocks(1_001, "rare", "r1")).isFalse();

        crash(2_000, prompt("c", DEADLY, "r4"));

        assertThat(blocks(2_001, "d", DEADLY, "r5")).isTrue();
        assertThat(blocks(2_001, "rare", "r1")).isFalse();
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
    void serversThatAreLostTogetherBlameNothing() {
        IntStream.range(0, 6).forEach(i -> crash(i * 30L, prompt("popular", "r" + i)));

        assertThat(blocks(400, "popular", "r9")).isFalse();
    }

    @Test
    void reportsOfTheSameCrashCountOnce() {
        for (long atMillis : new long[] {0, 1_000, 2_000}) {
            parts.recordCrash(
                    new ServerCrash(
                            new Incarnation("s", 1), atMillis, List.of(prompt(DEADLY, "r"))),
                    atMillis);
        }
        assertThat(blocks(2_001, DEADLY, "r2")).isFalse();
    }

    /** The last part belongs to one request or session, so that no other request refutes it. */
    @ParameterizedTest
    @CsvSource({"2, false", "3, true"})
    void blamesTheLastPartAfterThreeCrashes(int crashes, boolean blocked) {
        IntStream.range(0, crashes).forEach(i -> crash(i * 1_000L, prompt("p" + i, "session")));

        assertThat(blocks(10_000, "p", "session")).isEqualTo(blocked);
    }

    @Test
    void grantsOneTrialAfterATimeThatGrowsWithTheCrashes() {
        crash(0, prompt(DEADLY, "r1"));
        crash(1_000, prompt(DEADLY, "r2"));
        CrashPattern pattern = parts.patterns().get(0);

        assertThat(parts.tryTrial(pattern, 0, 40_000)).isFalse();
        assertThat(parts.tryTrial(pattern, 1, 41_000)).isFalse();
        assertThat(parts.tryTrial(pattern, 0, 41_000)).isTrue();
        assertThat(parts.tryTrial(pattern, 0, 41_001)).isFalse();

        crash(41_100, prompt(DEADLY, "r3"));
        assertThat(parts.tryTrial(parts.patterns().get(0), 0, 90_000)).isFalse();
        assertThat(parts.tryTrial(parts.patterns().get(0), 0, 101_100)).isTrue();
    }

    @Test
    void forgetsOldCrashes() {
        crash(0, prompt(DEADLY, "r1"));
        crash(1_000, prompt(DEADLY, "r2"));

        assertThat(blocks(CrashingParts.RETENTION_MILLIS, DEADLY, "r3")).isTrue();
        assertThat(blocks(CrashingParts.RETENTION_MILLIS + 1_001, DEADLY, "r3")).isFalse();
    }

    @Test
    void entriesAgreeOnTheOrderOfTrials() {
        List<String> entries = List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1");
        for (String part : List.of("a", "b", "c", "d")) {
            assertThat(entries.stream().map(e -> TrialOrder.rank(Set.of(part), e, entries)))
                    .containsExactlyInAnyOrder(0, 1, 2);
        }
    }
}
