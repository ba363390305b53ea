package dev.foxtailshed.kernel.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the number of retries that a budget permits and the delays between them. */
class RetryTest {

    @ParameterizedTest
    @CsvSource({"1000, 10, 120", "1000, 0, 20", "100, 100, 100", "100000, 1, 1020"})
    void retriesAreLimitedToAPercentageOfRequests(int requests, int percent, int maximumRetries) {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            budget.addRequest(percent);
            retries += budget.tryRetry() ? 1 : 0;
        }

        assertThat(retries).isBetween(maximumRetries * 9 / 10, maximumRetries);
    }

    @ParameterizedTest
    @CsvSource({"100000, 60", "0, 20"})
    void burstOfRetriesIsLimitedAfterManyRequests(int requestsBefore, int expectedRetries) {
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
    void backoffDoublesUpToItsMaximumWithJitter(int retry, long minimumMillis, long maximumMillis) {
        Backoff backoff = new Backoff(20, 1_000);

        assertThat(backoff.delayMillis(retry, 0)).isEqualTo(minimumMillis);
        assertThat(backoff.delayMillis(retry, 1)).isEqualTo(maximumMillis);
    }
}
