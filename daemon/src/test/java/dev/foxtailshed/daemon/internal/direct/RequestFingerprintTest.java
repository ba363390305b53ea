package dev.foxtailshed.daemon.internal.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectRoute;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.direct.PromptParts;
import dev.foxtailshed.kernel.direct.Repeatability;
import dev.foxtailshed.kernel.direct.RequestAttributes;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests count as the same one that comes again. */
class RequestFingerprintTest {

    private static final RequestFingerprint BASE = fingerprint("10.0.0.1", "/x", "a b", "body");

    private static RequestFingerprint fingerprint(
            String caller, String target, String parts, String body) {
        DirectRoute route =
                new DirectRoute(
                        "r",
                        "host",
                        "/",
                        Repeatability.REPEATABLE,
                        1_000,
                        1_000,
                        0,
                        0,
                        List.of(new DirectRoute.WeightedService("app", 1)),
                        2,
                        false);
        return RequestFingerprint.of(
                new CallerRequest(
                        "request",
                        caller,
                        "POST",
                        target,
                        HttpFields.EMPTY,
                        body.getBytes(StandardCharsets.UTF_8),
                        new RequestAttributes(
                                Optional.of("request"),
                                OptionalLong.empty(),
                                OptionalLong.empty(),
                                Optional.empty(),
                                new PromptParts(List.of(parts.split(" ")))),
                        route,
                        new DirectService("app", 10, Optional.empty(), Optional.empty()),
                        1,
                        0,
                        1_000));
    }

    /**
     * Guards against blame of all requests of a caller, whose prompts differ, for the crashes that
     * broke off several of them.
     */
    @ParameterizedTest
    @CsvSource({
        "/x, a c, body",
        "/x, a, body",
        "/x, a b c, body",
        "/x, ab, body",
        "/y, a b, body",
        "/x, a b, other"
    })
    void requestsThatDifferHaveOtherDigests(String target, String parts, String body) {
        RequestFingerprint other = fingerprint("10.0.0.1", target, parts, body);

        assertThat(other.content()).isNotEqualTo(BASE.content());
        assertThat(other.callerAndContent()).isNotEqualTo(BASE.callerAndContent());
    }

    @Test
    void sameRequestOfAnotherCallerHasTheSameContent() {
        RequestFingerprint other = fingerprint("10.0.0.2", "/x", "a b", "body");

        assertThat(other.content()).isEqualTo(BASE.content());
        assertThat(other.callerAndContent()).isNotEqualTo(BASE.callerAndContent());
        assertThat(fingerprint("10.0.0.1", "/x", "a b", "body")).isEqualTo(BASE);
    }
}
