package dev.foxtailshed.kernel.claims;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests each decision of a shard, its size limit and its encoding. */
class ClaimShardTest {

    private static final long EXPIRY = 1_000;
    private static final ClaimRequest FIRST = request("key", "first", "body");
    private static final ClaimRequest RESEND = request("key", "resend", "body");
    private static final RecordedAnswer ANSWER = answer("aGVsbG8=");

    static Stream<Arguments> decisions() {
        ClaimShard claimed = ClaimShard.EMPTY.claim(FIRST, 0).shard();
        ClaimShard done = claimed.complete(FIRST, ANSWER);
        ClaimDecision claimedDecision = new ClaimDecision.Claimed();
        return Stream.of(
                Arguments.of("new key", ClaimShard.EMPTY, RESEND, 0, claimedDecision),
                Arguments.of("own claim read back", claimed, FIRST, 0, claimedDecision),
                Arguments.of("in use", claimed, RESEND, 0, new ClaimDecision.InUse()),
                Arguments.of("done", done, RESEND, 0, new ClaimDecision.Answered(ANSWER)),
                Arguments.of(
                        "other body",
                        done,
                        request("key", "third", "other"),
                        0,
                        new ClaimDecision.Reused()),
                Arguments.of("released", claimed.release(FIRST), RESEND, 0, claimedDecision),
                Arguments.of("released by another", claimed.release(RESEND), RESEND, 0, inUse()),
                Arguments.of("done is not released", done.release(FIRST), RESEND, 0, answered()),
                Arguments.of("just before expiry", claimed, RESEND, EXPIRY - 1, inUse()),
                Arguments.of("expired", claimed, RESEND, EXPIRY, claimedDecision),
                Arguments.of("other path", done, request("key2", "x", "body"), 0, claimedDecision));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("decisions")
    void decidesByTheExistingClaim(
            String name, ClaimShard shard, ClaimRequest request, long now, ClaimDecision expected) {
        ClaimResult result = shard.claim(request, now);
        assertThat(result.decision()).isEqualTo(expected);
        boolean claimed = expected instanceof ClaimDecision.Claimed;
        assertThat(result.shard() == shard).isEqualTo(!claimed || name.startsWith("own"));
        ClaimShard stored = ClaimShardCodec.decode(ClaimShardCodec.encode(result.shard())).get();
        assertThat(stored.claims()).isEqualTo(result.shard().claims());
        assertThat(stored.sizeBytes()).isEqualTo(result.shard().sizeBytes());
    }

    @Test
    void fullShardDropsContentBeforeItRefusesAndNeverDropsAClaim() {
        ClaimShard shard = ClaimShard.EMPTY;
        int claims = 0;
        while (true) {
            ClaimRequest request = request("k" + claims, "id" + claims, "body");
            ClaimResult result = shard.claim(request, 0);
            if (result.decision() instanceof ClaimDecision.Full) {
                break;
            }
            shard = result.shard().complete(request, answer("A".repeat(4_000)));
            claims++;
        }
        byte[] bytes = ClaimShardCodec.encode(shard);
        assertThat(bytes.length).isLessThan(ClaimShard.MAXIMUM_BYTES);
        assertThat(shard.claims().size()).isEqualTo(claims).isGreaterThan(1_500);
        assertThat(shard.compact(EXPIRY).claims()).isEmpty();
        assertThat(shard.claim(request("late", "late", "body"), EXPIRY).decision())
                .isEqualTo(new ClaimDecision.Claimed());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{}",
                "[1]",
                "{\"format\":\"foxtailshed-claims-1\"}",
                "{\"format\":" + "\"foxtailshed-claims-1\",\"claims\":[{}]}"
            })
    void malformedShardIsRefused(String text) {
        assertThat(ClaimShardCodec.decode(text.getBytes(StandardCharsets.UTF_8)).isLeft()).isTrue();
    }

    private static ClaimDecision inUse() {
        return new ClaimDecision.InUse();
    }

    private static ClaimDecision answered() {
        return new ClaimDecision.Answered(ANSWER);
    }

    private static RecordedAnswer answer(String base64) {
        return new RecordedAnswer(
                200,
                "d".repeat(32),
                Optional.of(
                        new RecordedAnswer.Content(
                                List.of(new RecordedAnswer.Header("Content-Type", "text/plain")),
                                base64)));
    }

    private static ClaimRequest request(String key, String claimId, String body) {
        return ClaimRequest.of(
                "orders",
                "POST",
                "/wire-orders?x=1",
                key,
                body.getBytes(StandardCharsets.UTF_8),
                claimId,
                EXPIRY);
    }
}
