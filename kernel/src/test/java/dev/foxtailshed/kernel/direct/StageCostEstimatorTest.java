package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the share of servers that should read prompts. */
class StageCostEstimatorTest {

    private final StageCostEstimator demand = new StageCostEstimator();

    @ParameterizedTest
    @CsvSource({
        // slots, KV tokens of a server, servers, wanted for reading
        "48, 42000, 6, 2",
        "24, 42000, 6, 2",
        "12, 25000, 36, 7",
        "12, 25000, 3, 1",
        "48, 500000, 10, 7",
        "4, 500000, 10, 1",
    })
    void usualRequestsSplitByWhatAServerHolds(int slots, long tokens, int servers, int expected) {
        double share = demand.prefillShare(terms(slots, tokens));
        assertThat(new StageSplitPolicy().wantedPrefill(servers, share, 0, false))
                .isEqualTo(expected);
    }

    @Test
    void longerAnswersTakeServersFromReading() {
        double before = demand.prefillShare(terms(48, 42_000));
        for (int i = 0; i < 200; i++) {
            demand.recordStream(6_000, 9_000);
        }
        assertThat(demand.prefillShare(terms(48, 42_000))).isLessThan(before / 2);
    }

    @Test
    void longerPromptsBringServersToReading() {
        double before = demand.prefillShare(terms(48, 42_000));
        for (int i = 0; i < 200; i++) {
            demand.recordPrefill(9_000, 315);
        }
        assertThat(demand.prefillShare(terms(48, 42_000))).isGreaterThan(before * 1.8);
    }

    @Test
    void aQueueAtThePrefillServersDoesNotPassForWork() {
        for (int i = 0; i < 100; i++) {
            demand.recordPrefill(3_000, 90);
        }
        double before = demand.prefillShare(terms(48, 42_000));
        for (int i = 0; i < 100; i++) {
            demand.recordPrefill(3_000, i % 10 == 0 ? 90 : 900);
        }
        assertThat(demand.prefillShare(terms(48, 42_000))).isLessThan(before * 1.1);
    }

    @Test
    void promptsThatAServerHadKeptDoNotPassForFastReading() {
        for (int i = 0; i < 100; i++) {
            demand.recordPrefill(3_000, 110 + i % 10 * 20);
        }
        double before = demand.prefillShare(terms(48, 42_000));
        for (int i = 0; i < 5; i++) {
            demand.recordPrefill(3_000, 5);
        }
        assertThat(demand.prefillShare(terms(48, 42_000))).isGreaterThan(before * 0.8);
    }

    private static EngineSpec terms(int slots, long tokens) {
        return new EngineSpec(slots, tokens, 500, 6_000, 2_000, false);
    }
}
