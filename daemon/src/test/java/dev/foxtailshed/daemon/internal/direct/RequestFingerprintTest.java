package dev.foxtailshed.daemon.internal.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.PromptParts;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests count as the same one that comes again. */
class RequestFingerprintTest {

    private static final RequestFingerprint BASE = fingerprint("10.0.0.1", "/x", "a b", "body");

    private static RequestFingerprint fingerprint(
            String caller, String target, String parts, String body) {
        PromptParts prompt = new PromptParts(List.of(parts.split(" ")));
        return RequestFingerprint.of(CallerRequests.create(caller, target, prompt, body));
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
