package dev.foxtailshed.kernel.suspects;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.suspects.SuspectChange.Cleared;
import dev.foxtailshed.kernel.suspects.SuspectChange.Crashed;
import org.junit.jupiter.api.Test;

/** Tests suspects and their isolation, which keeps harmless requests from being suspected. */
class SuspectsTest {

    private static final String GUILTY = "guilty";
    private static final String INNOCENT = "innocent";

    @Test
    void secondCrashRefusesAndTheSameCrashCountsOnce() {
        Suspects once = Suspects.NONE.apply(new Crashed(GUILTY, "a", 1));
        assertThat(once.isSuspect(GUILTY)).isTrue();
        assertThat(once.apply(new Crashed(GUILTY, "a", 2)).isRefused(GUILTY)).isFalse();
        Suspects twice = once.apply(new Crashed(GUILTY, "b", 2));
        assertThat(twice.isRefused(GUILTY)).isTrue();
        assertThat(Suspects.of(twice.all()).isRefused(GUILTY)).isTrue();
    }

    @Test
    void suspectsAreClearedAndExpire() {
        Suspects both =
                Suspects.NONE
                        .apply(new Crashed(GUILTY, "a", 1))
                        .apply(new Crashed(GUILTY, "b", 5))
                        .apply(new Crashed(INNOCENT, "a", 1));
        assertThat(both.apply(new Cleared(INNOCENT)).isSuspect(INNOCENT)).isFalse();
        assertThat(both.withoutOlderThan(5).isSuspect(INNOCENT)).isFalse();
        assertThat(both.withoutOlderThan(5).isRefused(GUILTY)).isTrue();
        assertThat(both.withoutOlderThan(6).all()).isEmpty();
    }

    @Test
    void crashDuringIsolationIsAttributedToTheIsolatedSuspectOnly() {
        SuspectIsolation isolation = new SuspectIsolation();
        assertThat(isolation.tryStart("d1", GUILTY)).isTrue();
        assertThat(isolation.tryStart("d1", INNOCENT)).isFalse();
        assertThat(isolation.servers()).containsExactly("d1");
        assertThat(isolation.mayHaveCausedCrash("d1", GUILTY, 0)).isTrue();
        isolation.finish("d1", GUILTY);
        assertThat(isolation.mayHaveCausedCrash("d1", INNOCENT, 1)).isFalse();
        assertThat(isolation.mayHaveCausedCrash("d2", INNOCENT, 1)).isTrue();
        assertThat(isolation.tryStart("d1", INNOCENT)).isTrue();
    }

    @Test
    void attributionExpires() {
        SuspectIsolation isolation = new SuspectIsolation();
        isolation.tryStart("d1", GUILTY);
        isolation.mayHaveCausedCrash("d1", GUILTY, 0);
        isolation.finish("d1", GUILTY);
        assertThat(isolation.mayHaveCausedCrash("d1", INNOCENT, 5_000)).isTrue();
    }
}
