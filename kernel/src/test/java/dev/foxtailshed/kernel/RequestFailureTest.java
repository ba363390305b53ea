package dev.foxtailshed.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against errors whose status promises that a request has not run, though it may have. */
class RequestFailureTest {

    private static final Set<Integer> STATUSES_OF_NOT_RUN = Set.of(408, 421, 429, 503);

    static Stream<Arguments> codesAndVerdicts() {
        return Arrays.stream(ErrorCode.values())
                .flatMap(
                        code ->
                                Arrays.stream(Verdict.values())
                                        .map(verdict -> Arguments.of(code, verdict)));
    }

    @ParameterizedTest
    @MethodSource("codesAndVerdicts")
    void onlyTheVerdictNotRunHasAStatusThatPromisesIt(ErrorCode code, Verdict verdict) {
        int status = RequestFailure.of(verdict, code, "failed").httpStatus();

        if (verdict == Verdict.NOT_RUN || !STATUSES_OF_NOT_RUN.contains(code.httpStatus())) {
            assertThat(status).isEqualTo(code.httpStatus());
        } else {
            assertThat(status).isEqualTo(502);
        }
    }
}
