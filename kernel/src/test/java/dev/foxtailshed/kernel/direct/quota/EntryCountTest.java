package dev.foxtailshed.kernel.direct.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the number of entries that limits are divided by. */
class EntryCountTest {

    private static final long HOLD_MILLIS = 16_000;

    private final EntryCount count = new EntryCount();

    @Test
    void isUnknownUntilConfigured() {
        count.hear(new KnownEntryCount(28, HOLD_MILLIS), 0);

        assertThat(count.get(0)).isEmpty();
    }

    /** Guards against shares that grow while the entries that left may still be running. */
    @Test
    void lowerNumberTakesEffectAfterAWhile() {
        configure(28, 0);
        configure(20, 1_000);

        assertThat(entries(1_000 + HOLD_MILLIS - 1)).isEqualTo(28);
        assertThat(entries(1_000 + HOLD_MILLIS)).isEqualTo(20);
    }

    @Test
    void higherNumberTakesEffectAtOnce() {
        configure(20, 0);
        configure(28, 1_000);

        assertThat(entries(1_000)).isEqualTo(28);
    }

    /** Guards against a number that goes down by several steps and skips the wait. */
    @Test
    void highestRecentNumberCounts() {
        configure(28, 0);
        configure(24, 1_000);
        configure(20, 10_000);

        assertThat(entries(1_000 + HOLD_MILLIS - 1)).isEqualTo(28);
        assertThat(entries(1_000 + HOLD_MILLIS)).isEqualTo(24);
        assertThat(entries(10_000 + HOLD_MILLIS)).isEqualTo(20);
    }

    @Test
    void higherNumberOfAPeerTakesEffectWhileItIsValid() {
        configure(28, 0);
        count.hear(new KnownEntryCount(30, 5_000), 1_000);

        assertThat(entries(5_999)).isEqualTo(30);
        assertThat(entries(6_000)).isEqualTo(28);
    }

    /** Guards against entries that confirm an old number to each other for ever. */
    @Test
    void passedOnNumberExpiresEverywhere() {
        configure(28, 0);
        EntryCount other = new EntryCount();
        other.configure(OptionalInt.of(28), HOLD_MILLIS, 0);
        count.hear(new KnownEntryCount(30, 5_000), 0);
        for (long now = 0; now < 5_000; now += 100) {
            other.hear(count.get(now).orElseThrow(), now);
            count.hear(other.get(now).orElseThrow(), now);
        }

        assertThat(entries(5_000)).isEqualTo(28);
        assertThat(other.get(5_000).orElseThrow().entries()).isEqualTo(28);
    }

    /** Guards against malformed numbers that would end all accrual, or raise the share. */
    @ParameterizedTest
    @CsvSource({
        "-1, 5000, 28",
        "0, 5000, 28",
        "27, 5000, 28",
        "30, -1, 28",
        "30, 0, 28",
        "2147483647, 9223372036854775807, 112"
    })
    void numbersOfPeersAreLimited(int entries, long validMillis, int expected) {
        configure(28, 0);
        count.hear(new KnownEntryCount(entries, validMillis), 0);

        assertThat(entries(1)).isEqualTo(expected);
        assertThat(entries(HOLD_MILLIS)).isEqualTo(28);
    }

    private void configure(int entries, long nowMillis) {
        count.configure(OptionalInt.of(entries), HOLD_MILLIS, nowMillis);
    }

    private int entries(long nowMillis) {
        return count.get(nowMillis).orElseThrow().entries();
    }
}
