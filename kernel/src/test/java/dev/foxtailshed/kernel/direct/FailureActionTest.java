package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests what may follow a failed call. */
class FailureActionTest {

    @ParameterizedTest
    @CsvSource({
        // Not run: any kind may go to another server, and is refused with a promise otherwise.
        "REFUSED, NOT_RUN, AT_MOST_ONCE, 1, TRY_ANOTHER",
        "REFUSED, NOT_RUN, AT_MOST_ONCE, 0, REFUSE",
        "WRONG_SERVER, NOT_RUN, STREAM_ONCE, 1, TRY_ANOTHER",
        "UNREACHABLE, NOT_RUN, STREAM_ONCE, 0, REFUSE",
        // May have run: only what may run again goes to another server, and no promise is made.
        "BROKEN, MAY_HAVE_RUN, AT_MOST_ONCE, 1, FAIL",
        "SILENT, MAY_HAVE_RUN, STREAM_ONCE, 1, FAIL",
        "BROKEN, MAY_HAVE_RUN, REPEATABLE, 1, TRY_ANOTHER",
        "BROKEN, MAY_HAVE_RUN, STREAM_RESUMABLE, 1, TRY_ANOTHER",
        "BROKEN, MAY_HAVE_RUN, REPEATABLE, 0, FAIL",
        // A refusal after an attempt that may have run does not take that back.
        "REFUSED, MAY_HAVE_RUN, REPEATABLE, 0, FAIL",
        "REFUSED, RAN, AT_MOST_ONCE, 1, FAIL",
        // A server's own error is passed on where nothing better can be had.
        "SERVER_ERROR, RAN, AT_MOST_ONCE, 1, PASS_ON",
        "SERVER_ERROR, RAN, REPEATABLE, 1, TRY_ANOTHER",
        "SERVER_ERROR, RAN, REPEATABLE, 0, PASS_ON",
    })
    void followsFromVerdictAndKind(
            CallOutcome outcome,
            Verdict verdict,
            Repeatability repeatability,
            int serversLeft,
            FailureAction expected) {
        assertThat(FailureAction.decide(outcome, verdict, repeatability, serversLeft))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @EnumSource(Verdict.class)
    void onlyWhatHasNotRunIsPromised(Verdict verdict) {
        int status = FailureAction.createFailure(verdict, true, "m", 100).code().httpStatus();
        assertThat(status).isEqualTo(verdict == Verdict.NOT_RUN ? 503 : 504);
        assertThat(
                        FailureAction.createFailure(verdict, true, "m", 100)
                                .retryAfterMillis()
                                .isPresent())
                .isEqualTo(verdict == Verdict.NOT_RUN);
    }

    @Test
    void everyOutcomeThatSentSomethingMayHaveRunUnlessTheServerSaysOtherwise() {
        for (CallOutcome outcome : CallOutcome.values()) {
            boolean promised =
                    outcome == CallOutcome.REFUSED
                            || outcome == CallOutcome.WRONG_SERVER
                            || outcome == CallOutcome.UNREACHABLE;
            assertThat(outcome.verdict() == Verdict.NOT_RUN).as(outcome.name()).isEqualTo(promised);
        }
    }
}
