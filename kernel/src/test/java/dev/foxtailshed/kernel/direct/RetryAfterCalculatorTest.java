package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when refused callers retry; {@link AdmissionBurstReplayTest} simulates a burst. */
class RetryAfterCalculatorTest {

    @ParameterizedTest
    @CsvSource({
        "0, 14000, 0.0, 1500",
        "0, 14000, 0.999, 4497",
        "2500, 14000, 0.0, 2500",
        "9000, 14000, 0.0, 4666",
        "0, 3000, 0.5, 1000",
        "0, -5, 0.5, 0"
    })
    void callerRetriesAfterTheBurstAndWithinItsDeadline(
            long drainMillis, long remainingMillis, double random, long expectedMillis) {
        assertThat(
                        new RetryAfterCalculator()
                                .retryAfterMillis(drainMillis, remainingMillis, random))
                .isEqualTo(expectedMillis);
    }
}
