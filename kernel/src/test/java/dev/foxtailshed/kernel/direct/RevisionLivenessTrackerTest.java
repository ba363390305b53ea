package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests who counts as alive by the changes of its record. */
class RevisionLivenessTrackerTest {

    private final RevisionLivenessTracker liveness = new RevisionLivenessTracker(1_000);

    @Test
    void writerThatChangesItsRecordLivesAndASilentOneIsGone() {
        assertThat(liveness.update(Map.of("a", 1L, "b", 2L), 0)).containsExactly("a", "b");
        assertThat(liveness.update(Map.of("a", 1L, "b", 3L), 999)).containsExactly("a", "b");
        assertThat(liveness.update(Map.of("a", 1L, "b", 3L), 1_000)).containsExactly("b");
        assertThat(liveness.update(Map.of("a", 4L, "b", 3L), 1_100)).containsExactly("a", "b");
    }

    @Test
    void removedRecordIsGoneAtOnce() {
        liveness.update(Map.of("a", 1L, "b", 2L), 0);
        assertThat(liveness.update(Map.of("b", 2L), 10)).containsExactly("b");
    }
}
