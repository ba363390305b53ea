package dev.foxtailshed.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the reservations and the estimated slowdown of a transfer link. */
class TransferLinkTrackerTest {

    private static final long BYTES_PER_SECOND = 1_000_000;

    @ParameterizedTest
    @CsvSource({"1, 1.0", "10, 10.0", "3, 3.0"})
    void estimatesTheSlowdownAndLetsItDecay(int slowdown, double expected) {
        TransferLinkTracker tracker = new TransferLinkTracker();
        long nowMillis = 0;
        for (int i = 0; i < 40; i++) {
            nowMillis += 50;
            tracker.observe(500_000, BYTES_PER_SECOND, 500L * slowdown + 60, nowMillis);
        }

        assertThat(tracker.slowdown(nowMillis)).isCloseTo(expected, within(0.5));
        assertThat(tracker.slowdown(nowMillis + 120_000)).isCloseTo(1, within(0.01));
    }

    @ParameterizedTest
    @CsvSource({"100, 4", "1000, 1"})
    void sumsUpTheReservedBytes(long bytes, int transfers) {
        TransferLinkTracker tracker = new TransferLinkTracker();
        for (int i = 0; i < transfers; i++) {
            tracker.reserve(bytes);
        }
        assertThat(tracker.reservedBytes()).isEqualTo(bytes * transfers);
        for (int i = 0; i < transfers; i++) {
            tracker.release(bytes);
        }
        tracker.observe(100, BYTES_PER_SECOND, 10_000, 10);

        assertThat(tracker.reservedBytes()).isZero();
        assertThat(tracker.slowdown(10)).isEqualTo(1);
    }
}
