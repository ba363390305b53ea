package dev.foxtailshed.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares estimates with the tokens of several kinds of random prompts with fixed seeds. */
class TokenEstimatorTest {

    private static final int PROMPTS = 2_000;

    @ParameterizedTest
    @CsvSource({"7.0, 0.1, 1.2", "4.0, 0.3, 1.6", "2.0, 0.1, 1.3", "5.0, 0.0, 1.1"})
    void estimatesSlightlyMoreThanTheCountedTokens(
            double bytesPerToken, double variation, double maximumFactor) {
        TokenEstimator estimator = new TokenEstimator();
        Random random = new Random(20260104);
        int tooSmall = 0;
        double factorSum = 0;
        int estimates = 0;
        for (int i = 0; i < PROMPTS; i++) {
            long tokens = 20 + random.nextInt(2_000);
            double ratio = bytesPerToken * (1 + variation * (random.nextDouble() - 0.5));
            long sizeBytes = Math.round(tokens * ratio);
            if (i >= PROMPTS / 10) {
                long estimate = estimator.estimate(sizeBytes);
                tooSmall += estimate < tokens ? 1 : 0;
                factorSum += (double) estimate / tokens;
                estimates++;
            }
            estimator.observe(sizeBytes, tokens);
        }

        assertThat(tooSmall).isLessThan(estimates / 50);
        assertThat(factorSum / estimates).isBetween(1.0, maximumFactor);
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "1, 1", "300, 100"})
    void assumesShortTokensBeforeEnoughObservations(long sizeBytes, long expected) {
        TokenEstimator estimator = new TokenEstimator();
        estimator.observe(7_000, 1_000);

        assertThat(estimator.estimate(sizeBytes)).isEqualTo(expected);
    }
}
