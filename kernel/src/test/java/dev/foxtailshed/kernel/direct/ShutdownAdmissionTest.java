package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests an instance takes while it shuts down. */
class ShutdownAdmissionTest {

    private static final long END_MILLIS = 10_000;

    @ParameterizedTest
    @CsvSource({"10000, true", "10001, false", "800, true"})
    void whileEarlierRequestsRunOnlyThoseThatEndInTimeAreTaken(long deadlineMillis, boolean taken) {
        assertThat(ShutdownAdmission.finishing(END_MILLIS).admits(deadlineMillis)).isEqualTo(taken);
    }

    @ParameterizedTest
    @CsvSource({"0", "14000"})
    void openTakesEverythingAndClosedNothing(long deadlineMillis) {
        assertThat(ShutdownAdmission.open().admits(deadlineMillis)).isTrue();
        assertThat(ShutdownAdmission.closed().admits(deadlineMillis)).isFalse();
    }
}
