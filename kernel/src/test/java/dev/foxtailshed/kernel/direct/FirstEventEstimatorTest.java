package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectRoute.WeightedService;
import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import java.math.BigDecimal;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how long requests may wait for capacity. */
class FirstEventEstimatorTest {

    private final FirstEventEstimator estimator = new FirstEventEstimator();
    private final DirectRoute route =
            new DirectRoute(
                    "r",
                    "h",
                    "/",
                    Repeatability.STREAM_ONCE,
                    14_000,
                    900,
                    300,
                    BigDecimal.ONE,
                    List.of(new WeightedService("llm", BigDecimal.ONE)),
                    1,
                    true,
                    false);

    @ParameterizedTest
    @ValueSource(longs = {14_000, 13_000, 9_000, 2_000})
    void shorterDeadlineDoesNotMakeARequestLate(long deadlineMillis) {
        estimator.isLate(route, attributes(14_000, 3_000), 0);
        assertThat(estimator.isLate(route, attributes(deadlineMillis, 3_000), 0)).isFalse();
        assertThat(estimator.waitLimitMillis(route, attributes(deadlineMillis, 3_000), 0, false))
                .isBetween(400L, 900L);
    }

    @Test
    void longerPromptLeavesLessTimeToWait() {
        for (int i = 0; i < 100; i++) {
            estimator.recordFirstEvent(3_000, 180);
        }
        long shortPrompt = estimator.waitLimitMillis(route, attributes(14_000, 1_000), 0, false);
        long longPrompt = estimator.waitLimitMillis(route, attributes(14_000, 6_000), 0, false);
        assertThat(shortPrompt - longPrompt).isBetween(250L, 350L);
    }

    @Test
    void requestPastItsObjectiveIsLate() {
        assertThat(estimator.isLate(route, attributes(14_000, 3_000), 850)).isTrue();
        assertThat(estimator.waitLimitMillis(route, attributes(14_000, 3_000), 850, false))
                .isZero();
    }

    private static RequestAttributes attributes(long deadlineMillis, long promptTokens) {
        return new RequestAttributes(
                Optional.of("id"),
                OptionalLong.of(deadlineMillis),
                OptionalLong.empty(),
                Optional.of(new TokenCounts(promptTokens, 800, OptionalLong.empty())),
                PromptParts.NONE,
                Optional.empty());
    }
}
