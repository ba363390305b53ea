package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectRoute.WeightedService;
import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how long requests may wait for capacity. */
class FirstEventEstimatorTest {

    private final FirstEventEstimator times = new FirstEventEstimator();
    private final DirectRoute route =
            new DirectRoute(
                    "r",
                    "h",
                    "/",
                    Repeatability.STREAM_ONCE,
                    14_000,
                    900,
                    300,
                    1,
                    List.of(new WeightedService("llm", 1)),
                    1,
                    true);

    @ParameterizedTest
    @ValueSource(longs = {14_000, 13_000, 9_000, 2_000})
    void aShorterDeadlineDoesNotMakeAnArrivalLate(long deadlineMillis) {
        times.isLate(route, terms(14_000, 3_000), 0);
        assertThat(times.isLate(route, terms(deadlineMillis, 3_000), 0)).isFalse();
        assertThat(times.waitLimitMillis(route, terms(deadlineMillis, 3_000), 0, false))
                .isBetween(400L, 900L);
    }

    @Test
    void aLongerPromptLeavesLessTimeToWait() {
        for (int i = 0; i < 100; i++) {
            times.recordFirstEvent(3_000, 180);
        }
        long shortPrompt = times.waitLimitMillis(route, terms(14_000, 1_000), 0, false);
        long longPrompt = times.waitLimitMillis(route, terms(14_000, 6_000), 0, false);
        assertThat(shortPrompt - longPrompt).isBetween(250L, 350L);
    }

    @Test
    void aRequestPastItsObjectiveIsLate() {
        assertThat(times.isLate(route, terms(14_000, 3_000), 850)).isTrue();
        assertThat(times.waitLimitMillis(route, terms(14_000, 3_000), 850, false)).isZero();
    }

    private static RequestAttributes terms(long deadlineMillis, long promptTokens) {
        return new RequestAttributes(
                Optional.of("id"),
                OptionalLong.of(deadlineMillis),
                OptionalLong.empty(),
                Optional.of(new TokenCounts(promptTokens, 800, OptionalLong.empty())));
    }
}
