package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the action taken after a failed call. */
class FailureActionTest {

    @ParameterizedTest
    @CsvSource({
        // Not run: any request may go to another server; otherwise it is rejected as not run.
        "REFUSED, NOT_RUN, AT_MOST_ONCE, 1, TRY_ANOTHER",
        "REFUSED, NOT_RUN, AT_MOST_ONCE, 0, REFUSE",
        "WRONG_SERVER, NOT_RUN, STREAM_ONCE, 1, TRY_ANOTHER",
        "UNREACHABLE, NOT_RUN, STREAM_ONCE, 0, REFUSE",
        // May have run: only repeatable requests go to another server; no guarantee is given.
        "BROKEN, MAY_HAVE_RUN, AT_MOST_ONCE, 1, FAIL",
        "SILENT, MAY_HAVE_RUN, STREAM_ONCE, 1, FAIL",
        "BROKEN, MAY_HAVE_RUN, REPEATABLE, 1, TRY_ANOTHER",
        "BROKEN, MAY_HAVE_RUN, STREAM_RESUMABLE, 1, TRY_ANOTHER",
        "BROKEN, MAY_HAVE_RUN, REPEATABLE, 0, FAIL",
        // A refusal does not change the verdict of an earlier attempt that may have run.
        "REFUSED, MAY_HAVE_RUN, REPEATABLE, 0, FAIL",
        "REFUSED, RAN, AT_MOST_ONCE, 1, FAIL",
        // A server's own error is forwarded if the request cannot be sent to another server.
        "SERVER_ERROR, RAN, AT_MOST_ONCE, 1, PASS_ON",
        "SERVER_ERROR, RAN, REPEATABLE, 1, TRY_ANOTHER",
        "SERVER_ERROR, RAN, REPEATABLE, 0, PASS_ON",
    })
    void actionFollowsFromVerdictAndRepeatability(
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
    void onlyRequestsThatHaveNotRunGetStatus503AndRetryAfter(Verdict verdict) {
        int status = FailureAction.createFailure(verdict, true, "m", 100).code().httpStatus();
        assertThat(status).isEqualTo(verdict == Verdict.NOT_RUN ? 503 : 504);
        assertThat(
                        FailureAction.createFailure(verdict, true, "m", 100)
                                .retryAfterMillis()
                                .isPresent())
                .isEqualTo(verdict == Verdict.NOT_RUN);
    }

    @Test
    void outcomeIsNotRunOnlyIfNothingWasSentOrTheServerSaysSo() {
        for (CallOutcome outcome : CallOutcome.values()) {
            boolean notRun =
                    outcome == CallOutcome.REFUSED
                            || outcome == CallOutcome.WRONG_SERVER
                            || outcome == CallOutcome.UNREACHABLE;
            assertThat(outcome.verdict() == Verdict.NOT_RUN).as(outcome.name()).isEqualTo(notRun);
        }
    }
}
