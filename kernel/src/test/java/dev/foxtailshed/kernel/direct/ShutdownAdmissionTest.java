package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests an instance accepts while it shuts down. */
class ShutdownAdmissionTest {

    private static final long END_MILLIS = 10_000;

    @ParameterizedTest
    @CsvSource({"10000, true", "10001, false", "800, true"})
    void whileFinishingOnlyRequestsThatEndInTimeAreAccepted(long deadlineMillis, boolean accepted) {
        assertThat(ShutdownAdmission.finishing(END_MILLIS).admits(deadlineMillis))
                .isEqualTo(accepted);
    }

    @ParameterizedTest
    @CsvSource({"0", "14000"})
    void openAcceptsAllRequestsAndClosedNone(long deadlineMillis) {
        assertThat(ShutdownAdmission.open().admits(deadlineMillis)).isTrue();
        assertThat(ShutdownAdmission.closed().admits(deadlineMillis)).isFalse();
    }
}
