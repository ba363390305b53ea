package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that a writer counts as alive as long as the revision of its record changes. */
class RevisionLivenessTrackerTest {

    private final RevisionLivenessTracker tracker = new RevisionLivenessTracker(1_000);

    @Test
    void writerIsAliveWhileItsRecordChanges() {
        assertThat(tracker.update(Map.of("a", 1L, "b", 2L), 0)).containsExactly("a", "b");
        assertThat(tracker.update(Map.of("a", 1L, "b", 3L), 999)).containsExactly("a", "b");
        assertThat(tracker.update(Map.of("a", 1L, "b", 3L), 1_000)).containsExactly("b");
        assertThat(tracker.update(Map.of("a", 4L, "b", 3L), 1_100)).containsExactly("a", "b");
    }

    @Test
    void writerWithRemovedRecordIsNoLongerAlive() {
        tracker.update(Map.of("a", 1L, "b", 2L), 0);
        assertThat(tracker.update(Map.of("b", 2L), 10)).containsExactly("b");
    }
}
