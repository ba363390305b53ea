package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which statuses callers may get as an answer. */
class ResponseStatusTest {

    @ParameterizedTest
    @CsvSource({
        "-20, false", "0, false", "42, false", "100, false", "101, false", "103, false",
        "199, false", "200, true", "204, true", "304, true", "404, true", "503, true",
        "599, true", "600, false", "999, false", "2000, false"
    })
    void onlyStatusesOfTheFinalClassesEndARequest(int status, boolean isFinal) {
        assertThat(ResponseStatus.isFinal(status)).isEqualTo(isFinal);
    }
}
