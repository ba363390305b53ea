package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that positions are ordered across eras, and comparable in one way everywhere. */
class StorePositionTest {

    @ParameterizedTest
    @CsvSource({
        "0, 5, 0, 6, true",
        "1, 900, 2, 3, false",
        "1, 900, 3, 900, false",
        "0, 1000000000000, 1, 1, false",
        "0, 9007199254740992, 0, 9007199254740993, true",
        "0, 9223372036854775806, 0, 9223372036854775807, true",
        "8388606, 1099511627775, 8388607, 1, false"
    })
    void laterPositionsAreHigher(
            long era, long revision, long laterEra, long laterRevision, boolean sameHistory) {
        StorePosition earlier = new StorePosition(era, revision);
        StorePosition later = new StorePosition(laterEra, laterRevision);

        assertThat(earlier).isLessThan(later).isGreaterThan(StorePosition.NONE);
        assertThat(earlier.toFencingToken().getAsLong())
                .isLessThan(later.toFencingToken().getAsLong());
        assertThat(earlier.isSameHistory(later)).isEqualTo(sameHistory);
    }

    /** Guards against a command with the token of another position, or with a negative one. */
    @ParameterizedTest
    @CsvSource({
        "1, 1099511627776",
        "1, 9223372036854775807",
        "8388608, 1",
        "9223372036854775807, 1"
    })
    void positionThatFitsIntoNoTokenHasNone(long era, long revision) {
        assertThat(new StorePosition(era, revision).toFencingToken()).isEmpty();
    }
}
