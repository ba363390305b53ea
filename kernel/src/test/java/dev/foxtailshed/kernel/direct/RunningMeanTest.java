package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how fast a running mean follows its samples. */
class RunningMeanTest {

    @ParameterizedTest
    @CsvSource({
        // initial samples, samples of 200, expected mean of an initial 100 and these samples
        "3, 0, 100",
        "3, 1, 125",
        "3, 3, 150",
        "10, 10, 150",
        "3, 500, 200"
    })
    void initialValueCountsAsSomeSamples(int initialSamples, int samples, double expected) {
        RunningMean mean = new RunningMean(100, initialSamples);
        for (int i = 0; i < samples; i++) {
            mean.record(200);
        }
        assertThat(mean.value()).isCloseTo(expected, within(0.1));
    }

    @ParameterizedTest
    @CsvSource({"1, 202", "50, 263.6"})
    void laterSamplesKeepTheirWeight(int samples, double expected) {
        RunningMean mean = new RunningMean(200, 1);
        for (int i = 0; i < 1_000; i++) {
            mean.record(200);
        }
        for (int i = 0; i < samples; i++) {
            mean.record(300);
        }
        assertThat(mean.value()).isCloseTo(expected, within(0.1));
    }
}
