package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which events may follow each other in a stream. */
class EventSequenceTest {

    @ParameterizedTest
    @CsvSource({
        // the id that the caller has, the ids that arrive, whether the last one is accepted
        ", 0, true",
        ", 1 2, true",
        ", 1 5, true",
        ", 1 2 2, false",
        ", 1 2 1, false",
        ", 1 2 2 3, true",
        "3, 4, true",
        "3, 3, false",
        "3, 1, false",
        "3, 1 2 3 4, true",
    })
    void acceptsEventsWhoseIdsIncrease(Long resumeAfter, String ids, boolean accepted) {
        EventSequence sequence =
                new EventSequence(
                        resumeAfter == null ? OptionalLong.empty() : OptionalLong.of(resumeAfter));
        boolean lastAccepted = false;
        for (String id : ids.split(" ")) {
            lastAccepted = sequence.accept(Long.parseLong(id));
        }
        assertThat(lastAccepted).isEqualTo(accepted);
    }
}
