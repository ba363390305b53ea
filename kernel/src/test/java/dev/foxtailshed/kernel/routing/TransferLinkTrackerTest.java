package dev.foxtailshed.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is learned of a transfer link. */
class TransferLinkTrackerTest {

    private static final long BYTES_PER_SECOND = 1_000_000;

    @ParameterizedTest
    @CsvSource({"1, 1.0", "10, 10.0", "3, 3.0"})
    void learnsHowSlowALinkIsAndForgetsIt(int slowdown, double expected) {
        TransferLinkTracker pace = new TransferLinkTracker();
        long nowMillis = 0;
        for (int i = 0; i < 40; i++) {
            nowMillis += 50;
            pace.observe(500_000, BYTES_PER_SECOND, 500L * slowdown + 60, nowMillis);
        }

        assertThat(pace.slowdown(nowMillis)).isCloseTo(expected, within(0.5));
        assertThat(pace.slowdown(nowMillis + 120_000)).isCloseTo(1, within(0.01));
    }

    @ParameterizedTest
    @CsvSource({"100, 4", "1000, 1"})
    void keepsCountOfWhatIsSpokenFor(long bytes, int transfers) {
        TransferLinkTracker pace = new TransferLinkTracker();
        for (int i = 0; i < transfers; i++) {
            pace.reserve(bytes);
        }
        assertThat(pace.reservedBytes()).isEqualTo(bytes * transfers);
        for (int i = 0; i < transfers; i++) {
            pace.release(bytes);
        }
        pace.observe(100, BYTES_PER_SECOND, 10_000, 10);

        assertThat(pace.reservedBytes()).isZero();
        assertThat(pace.slowdown(10)).isEqualTo(1);
    }
}
