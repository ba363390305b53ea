package dev.foxtailshed.bench.measure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link ProcessGauge}, {@link Spread} and {@link LineFit}. */
class MeasureTest {

    @ParameterizedTest
    @CsvSource({
        "5, 5, 5, 5",
        "3;1;2, 1, 2, 3",
        "4;1;3;2, 1, 2.5, 4",
    })
    void spreadHasMinimumMedianAndMaximum(
            String values, double minimum, double median, double maximum) {
        List<Double> list = List.of(values.split(";")).stream().map(Double::valueOf).toList();

        assertThat(Spread.of(list)).isEqualTo(new Spread(minimum, median, maximum));
    }

    @Test
    void spreadOfNoValuesIsRejected() {
        assertThatThrownBy(() -> Spread.of(List.of())).isInstanceOf(IllegalArgumentException.class);
    }

    @ParameterizedTest
    @CsvSource({
        "1;2;3, 5;7;9, 3, 2",
        "10;50;200, 4;4;4, 4, 0",
    })
    void fitIsExactForCollinearPoints(String sizes, String values, double intercept, double slope) {
        LineFit fit = LineFit.of(numbers(sizes), numbers(values));

        assertThat(fit.intercept()).isCloseTo(intercept, within(1e-9));
        assertThat(fit.slope()).isCloseTo(slope, within(1e-9));
    }

    @Test
    void fitOfEqualSizesIsRejected() {
        assertThatThrownBy(() -> LineFit.of(new double[] {3, 3}, new double[] {1, 2}))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private static double[] numbers(String list) {
        return Arrays.stream(list.split(";")).mapToDouble(Double::parseDouble).toArray();
    }

    @Test
    void gaugeReadsOwnProcess() {
        long pid = ProcessHandle.current().pid();
        long beforeNanos = ProcessGauge.cpuNanos(pid);
        long spin = 0;
        while (ProcessGauge.cpuNanos(pid) == beforeNanos) {
            spin++;
        }

        assertThat(spin).isNotNegative();
        assertThat(ProcessGauge.cpuNanos(pid)).isGreaterThan(beforeNanos);
        assertThat(ProcessGauge.residentBytes(pid))
                .isGreaterThan(Runtime.getRuntime().totalMemory() / 1_000);
        assertThat(ProcessGauge.loadAverage().split(" ")).hasSize(3);
        assertThatThrownBy(() -> ProcessGauge.cpuNanos(Integer.MAX_VALUE))
                .isInstanceOf(UncheckedIOException.class);
    }
}
