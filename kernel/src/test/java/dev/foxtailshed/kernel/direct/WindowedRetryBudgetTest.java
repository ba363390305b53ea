package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that no window contains more retries than the deployment allows. */
class WindowedRetryBudgetTest {

    private static final long WINDOW_MILLIS = 10_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void noWindowExceedsTheBudget(long seed) {
        Random random = new Random(seed);
        WindowedRetryBudget budget = new WindowedRetryBudget(0.2, () -> 10, WINDOW_MILLIS);
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (long now = 0; now < 60_000; now += 1 + random.nextInt(40)) {
            // A retry storm in which every request attempts three retries, followed by a calm
            // phase.
            budget.recordRequest(now);
            requests.add(now);
            for (int i = 0; i < (now < 30_000 ? 3 : 0); i++) {
                if (budget.tryRetry(now)) {
                    retries.add(now);
                }
            }
        }
        for (long end : retries) {
            assertThat((double) count(retries, end))
                    .isLessThanOrEqualTo(0.2 * count(requests, end) + 10);
        }
        assertThat(retries).isNotEmpty();
    }

    private static long count(List<Long> times, long end) {
        return times.stream().filter(t -> t > end - WINDOW_MILLIS && t <= end).count();
    }
}
