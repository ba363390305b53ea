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
        "0, 1000000000000, 1, 1, false"
    })
    void laterPositionsAreHigher(
            long era, long revision, long laterEra, long laterRevision, boolean sameHistory) {
        StorePosition earlier = new StorePosition(era, revision);
        StorePosition later = new StorePosition(laterEra, laterRevision);

        assertThat(earlier).isLessThan(later).isGreaterThan(StorePosition.NONE);
        assertThat(earlier.toFencingToken()).isLessThan(later.toFencingToken());
        assertThat(earlier.isSameHistory(later)).isEqualTo(sameHistory);
    }
}
