package dev.foxtailshed.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the mapping of prompt prefixes to servers. */
class PrefixHintsTest {

    private static final String SHARED = "a".repeat(1_024);

    @ParameterizedTest
    @CsvSource({"1024, 1024", "1000, 768", "255, 0", "0, 0"})
    void findsTheBlocksThatTwoPromptsShare(int sharedBytes, int expectedBytes) {
        PrefixHints hints = new PrefixHints(1_000);
        String shared = SHARED.substring(0, sharedBytes);
        List<Long> first = PrefixHints.blocks("m", shared + "x".repeat(2_000));
        List<Long> second = PrefixHints.blocks("m", shared + "y".repeat(2_000));
        hints.recordPrefill("p1", first, 0);

        assertThat(hints.cachedBytes(second))
                .isEqualTo(expectedBytes == 0 ? Map.of() : Map.of("p1", expectedBytes));
        assertThat(hints.cachedBytes(PrefixHints.blocks("other", shared))).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"1, 0, p1", "8, 0, p1", "9, 0, p2", "1, 1024, p2"})
    void ownerChangesAfterManyPrefillsOrACacheHitElsewhere(
            int readings, long cachedBytes, String expectedOwner) {
        PrefixHints hints = new PrefixHints(1_000);
        List<Long> blocks = PrefixHints.blocks("m", SHARED);
        hints.recordPrefill("p1", blocks, 0);
        for (int i = 0; i < readings; i++) {
            hints.recordPrefill("p2", blocks, cachedBytes);
        }

        assertThat(hints.cachedBytes(blocks)).isEqualTo(Map.of(expectedOwner, SHARED.length()));
    }

    @ParameterizedTest
    @CsvSource({"4, 1", "100, 40"})
    void evictsTheLeastRecentlyUsedBlocks(int maximumBlocks, int maximumPromptsKept) {
        PrefixHints hints = new PrefixHints(maximumBlocks);
        for (int i = 0; i < 40; i++) {
            hints.recordPrefill("p1", PrefixHints.blocks("m", i + "-" + "z".repeat(600)), 0);
        }

        long kept = 0;
        for (int i = 0; i < 40; i++) {
            List<Long> blocks = PrefixHints.blocks("m", i + "-" + "z".repeat(600));
            kept += hints.cachedBytes(blocks).isEmpty() ? 0 : 1;
        }
        assertThat(kept).isBetween(1L, (long) Math.min(40, maximumPromptsKept * 2));
    }
}
