package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the share of servers that should do prefill. */
class StageCostEstimatorTest {

    private final RequestSizeEstimator sizes = new RequestSizeEstimator();
    private final StageCostEstimator estimator = new StageCostEstimator(sizes);

    @ParameterizedTest
    @CsvSource({
        // slots, KV cache tokens of a server, servers, expected prefill servers
        "48, 42000, 6, 2",
        "24, 42000, 6, 2",
        "12, 25000, 36, 7",
        "12, 25000, 3, 1",
        "48, 500000, 10, 7",
        "4, 500000, 10, 1",
    })
    void initialSplitDependsOnServerCapacity(int slots, long tokens, int servers, int expected) {
        double share = estimator.prefillShare(engine(slots, tokens));
        assertThat(new StageSplitPolicy().targetPrefillServers(servers, share, 0, false))
                .isEqualTo(expected);
    }

    @Test
    void longerAnswersReduceThePrefillShare() {
        double before = estimator.prefillShare(engine(48, 42_000));
        for (int i = 0; i < 200; i++) {
            sizes.recordArrival(counts(3_000, 6_000));
            estimator.recordStream(6_000, 9_000);
        }
        assertThat(estimator.prefillShare(engine(48, 42_000))).isLessThan(before / 2);
    }

    @Test
    void slowerPrefillIncreasesThePrefillShare() {
        double before = estimator.prefillShare(engine(48, 42_000));
        for (int i = 0; i < 800; i++) {
            estimator.recordPrefill(3_000, 315);
        }
        assertThat(estimator.prefillShare(engine(48, 42_000))).isGreaterThan(before * 1.8);
    }

    @Test
    void waitingAtPrefillServersDoesNotCountAsWork() {
        for (int i = 0; i < 100; i++) {
            estimator.recordPrefill(3_000, 90);
        }
        double before = estimator.prefillShare(engine(48, 42_000));
        for (int i = 0; i < 100; i++) {
            estimator.recordPrefill(3_000, i % 10 == 0 ? 90 : 900);
        }
        assertThat(estimator.prefillShare(engine(48, 42_000))).isLessThan(before * 1.1);
    }

    @Test
    void cachedPromptsDoNotCountAsFastPrefill() {
        for (int i = 0; i < 100; i++) {
            estimator.recordPrefill(3_000, 110 + i % 10 * 20);
        }
        double before = estimator.prefillShare(engine(48, 42_000));
        for (int i = 0; i < 5; i++) {
            estimator.recordPrefill(3_000, 5);
        }
        assertThat(estimator.prefillShare(engine(48, 42_000))).isGreaterThan(before * 0.8);
    }

    /** An entry of five at 7 requests a second, three seconds after the first one. */
    @Test
    void splitFitsLongOutputsAfterAFewRequests() {
        assertThat(prefillServersOfSix()).isEqualTo(3);
        for (int i = 0; i < 5; i++) {
            sizes.recordArrival(counts(5_200, 4_300));
            estimator.recordPrefill(5_200, 95 + 10 * i);
        }
        estimator.recordStream(2_000, 1_900);
        estimator.recordStream(1_500, 1_400);

        assertThat(prefillServersOfSix()).isEqualTo(2);
    }

    @Test
    void shortStreamsThatEndFirstDoNotPassForTypicalOnes() {
        for (int i = 0; i < 50; i++) {
            sizes.recordArrival(counts(3_000, 800));
            estimator.recordPrefill(3_000, 100);
        }
        double before = estimator.prefillShare(engine(48, 42_000));
        for (int i = 0; i < 5; i++) {
            estimator.recordStream(200, 875);
        }
        assertThat(estimator.prefillShare(engine(48, 42_000))).isBetween(before * 0.8, before);
    }

    private int prefillServersOfSix() {
        double share = estimator.prefillShare(engine(24, 101_752));
        return new StageSplitPolicy().targetPrefillServers(6, share, 3, true);
    }

    private static TokenCounts counts(long promptTokens, long outputTokens) {
        return new TokenCounts(promptTokens, 2 * outputTokens, OptionalLong.of(outputTokens));
    }

    private static EngineSpec engine(int slots, long tokens) {
        return new EngineSpec(slots, tokens, 500, 6_000, 2_000, false);
    }
}
