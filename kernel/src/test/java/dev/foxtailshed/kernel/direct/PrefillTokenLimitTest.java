package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how many tokens one entry may have in flight at a prefill server. */
class PrefillTokenLimitTest {

    @ParameterizedTest
    @CsvSource({
        "1000, 0.05, 1, 10000",
        "1000, 0.05, 4, 2500",
        "2000, 0.05, 4, 5000",
        "1000, 0.10, 4, 1250",
        "1000, 0.05, 0, 10000"
    })
    void entriesShareHalfOfTheObjective(
            long objectiveMillis, double millisPerToken, int entries, long tokens) {
        assertThat(
                        new PrefillTokenLimit()
                                .tokensPerServer(objectiveMillis, millisPerToken, entries))
                .isEqualTo(tokens);
    }
}
