package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.ServerRateLimits.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how entries keep to the request rates that servers name. */
class ServerRateLimitsTest {

    private static final DirectServer SERVER = server("s-1", 1);
    private static final DirectServer OTHER = server("s-2", 1);
    private static final List<DirectServer> BOTH = List.of(SERVER, OTHER);

    private final ServerRateLimits limits = new ServerRateLimits(() -> 2, id -> 0);

    private static DirectServer server(String id, long startedEpochMillis) {
        return new DirectServer(
                id, startedEpochMillis, "app", "10.0.0.1:80", "a", 6, false, Optional.empty(), 0);
    }

    /**
     * Entries that each want to send all the time, at random, keep to one limit together. The rule
     * allows one and a half times the limit and five more in any four seconds.
     */
    @ParameterizedTest
    @CsvSource({
        "4, 4.7, 35",
        "4, 7.3, 35",
        "4, 40, 300",
        "24, 2, 35",
        "350, 5, 1000",
        "350, 0.4, 1000"
    })
    void entriesKeepToTheLimitTogether(int entries, double limit, double demandPerSecond) {
        Random random = new Random(entries);
        List<ServerRateLimits> all =
                IntStream.range(0, entries)
                        .mapToObj(i -> new ServerRateLimits(() -> entries, id -> i))
                        .toList();
        all.forEach(entry -> entry.recordResponse(SERVER, OptionalDouble.of(limit), 0, 0));
        List<Long> sent = new ArrayList<>();
        for (long now = 0; now < 30_000; now++) {
            if (random.nextDouble() < demandPerSecond / 1_000) {
                ServerRateLimits entry = all.get(random.nextInt(entries));
                if (!entry.withCapacity(List.of(SERVER), now).isEmpty()) {
                    entry.recordSent(SERVER, now);
                    entry.recordResponse(SERVER, OptionalDouble.of(limit), now, now);
                    sent.add(now);
                }
            }
        }

        for (long first : sent) {
            assertThat(sent.stream().filter(t -> t >= first && t < first + 4_000).count())
                    .as("requests in 4 s from " + first + " ms on")
                    .isLessThanOrEqualTo((long) (1.5 * limit * 4 + 5));
        }
        assertThat(sent.size())
                .as("requests in 30 s")
                .isGreaterThanOrEqualTo((int) (0.6 * Math.min(limit, demandPerSecond) * 30));
    }

    @Test
    void leavesOutALimitedServerUntilItsShareAllowsARequest() {
        limits.recordResponse(SERVER, OptionalDouble.of(4), 0, 0);

        assertThat(limits.withCapacity(BOTH, 100)).containsExactly(OTHER);
        assertThat(limits.waitMillis(List.of(SERVER), 100)).isEqualTo(400);
        assertThat(limits.withCapacity(BOTH, 500)).containsExactly(SERVER, OTHER);
        limits.recordSent(SERVER, 500);
        assertThat(limits.withCapacity(BOTH, 501)).containsExactly(OTHER);
    }

    /** Calls for a request that the server already has are made up for by the next requests. */
    @Test
    void callsBeyondTheShareDelayTheNextRequest() {
        limits.recordResponse(SERVER, OptionalDouble.of(4), 0, 0);
        IntStream.range(0, 4).forEach(i -> limits.recordSent(SERVER, 500));

        assertThat(limits.waitMillis(List.of(SERVER), 500)).isEqualTo(2_000);
    }

    @Test
    void limitEndsWithAResponseToALaterRequestThatNamesNone() {
        assertThat(limits.recordResponse(SERVER, OptionalDouble.of(1), 0, 1_000))
                .isEqualTo(Change.LIMITED);
        assertThat(limits.recordResponse(SERVER, OptionalDouble.empty(), 999, 1_100))
                .as("response to a request sent before the limit was named")
                .isEqualTo(Change.NONE);
        assertThat(limits.withCapacity(BOTH, 1_100)).containsExactly(OTHER);
        assertThat(limits.recordResponse(SERVER, OptionalDouble.of(2), 1_200, 1_300))
                .isEqualTo(Change.LIMITED);

        assertThat(limits.recordResponse(SERVER, OptionalDouble.empty(), 1_200, 1_400))
                .isEqualTo(Change.UNLIMITED);
        assertThat(limits.withCapacity(BOTH, 1_400)).containsExactly(SERVER, OTHER);
        assertThat(limits.size()).isZero();
    }

    @Test
    void newIncarnationAtTheSameAddressHasNoLimit() {
        limits.recordResponse(SERVER, OptionalDouble.of(0.1), 0, 0);
        DirectServer restarted = server("s-1", 2);

        assertThat(limits.withCapacity(List.of(SERVER, restarted), 1)).containsExactly(restarted);
        limits.retain(List.of(restarted));
        assertThat(limits.size()).isZero();
    }

    /** A limit of 0 lets no request through, so its end would never be noticed. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.001})
    void singleRequestFindsOutWhetherAnOldLimitStillHolds(double limit) {
        limits.recordResponse(SERVER, OptionalDouble.of(limit), 0, 0);

        assertThat(limits.withCapacity(List.of(SERVER), 79_000)).isEmpty();
        assertThat(limits.waitMillis(List.of(SERVER), 79_000)).isEqualTo(1_000);
        assertThat(limits.withCapacity(List.of(SERVER), 80_000)).containsExactly(SERVER);
        limits.recordSent(SERVER, 80_000);
        assertThat(limits.withCapacity(List.of(SERVER), 80_001)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"7.3, 7.3", "0, 0", "12, 12", "' 4.7 ', 4.7", "999999999, 999999999"})
    void parsesDecimalNumbers(String text, double rate) {
        assertThat(ServerRateLimits.parseRate(text)).hasValue(rate);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "abc", "-1", "+1", "NaN", "Infinity", "1e9", "0x1p3", "5 5", "1,5"})
    void parsesNothingElse(String text) {
        assertThat(ServerRateLimits.parseRate(text)).isEmpty();
    }
}
