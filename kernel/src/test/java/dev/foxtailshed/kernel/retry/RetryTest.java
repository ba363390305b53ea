package dev.foxtailshed.kernel.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How many retries a budget permits and when they come. */
class RetryTest {

    @ParameterizedTest
    @CsvSource({"1000, 10, 120", "1000, 0, 20", "100, 100, 100", "100000, 1, 1020"})
    void retriesStayAShareOfTheTraffic(int requests, int percent, int mostRetries) {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            budget.addRequest(percent);
            retries += budget.tryRetry() ? 1 : 0;
        }

        assertThat(retries).isBetween(mostRetries * 9 / 10, mostRetries);
    }

    @ParameterizedTest
    @CsvSource({"100000, 60", "0, 20"})
    void aLongCalmPermitsNoStorm(int requestsBefore, int expectedRetries) {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < requestsBefore; i++) {
            budget.addRequest(10);
        }
        int retries = 0;
        while (budget.tryRetry()) {
            retries++;
        }

        assertThat(retries).isEqualTo(expectedRetries);
    }

    @ParameterizedTest
    @CsvSource({"0, 10, 20", "1, 20, 40", "4, 160, 320", "9, 500, 1000", "60, 500, 1000"})
    void backoffDoublesUpToItsBoundWithJitter(int retry, long least, long most) {
        Backoff backoff = new Backoff(20, 1_000);

        assertThat(backoff.delayMillis(retry, 0)).isEqualTo(least);
        assertThat(backoff.delayMillis(retry, 1)).isEqualTo(most);
    }
}
