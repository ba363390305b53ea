package dev.foxtailshed.kernel.suspects;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.suspects.SuspectChange.Cleared;
import dev.foxtailshed.kernel.suspects.SuspectChange.Crashed;
import org.junit.jupiter.api.Test;

/** Suspects by their crashes, and trials that keep innocents out of them. */
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
    void suspectsAreClearedAndForgotten() {
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
    void crashDuringTrialBlamesTheSuspectOnTrialAlone() {
        SuspectIsolation trials = new SuspectIsolation();
        assertThat(trials.tryStart("d1", GUILTY)).isTrue();
        assertThat(trials.tryStart("d1", INNOCENT)).isFalse();
        assertThat(trials.servers()).containsExactly("d1");
        assertThat(trials.mayHaveCausedCrash("d1", GUILTY, 0)).isTrue();
        trials.finish("d1", GUILTY);
        assertThat(trials.mayHaveCausedCrash("d1", INNOCENT, 1)).isFalse();
        assertThat(trials.mayHaveCausedCrash("d2", INNOCENT, 1)).isTrue();
        assertThat(trials.tryStart("d1", INNOCENT)).isTrue();
    }

    @Test
    void blameLapses() {
        SuspectIsolation trials = new SuspectIsolation();
        trials.tryStart("d1", GUILTY);
        trials.mayHaveCausedCrash("d1", GUILTY, 0);
        trials.finish("d1", GUILTY);
        assertThat(trials.mayHaveCausedCrash("d1", INNOCENT, 5_000)).isTrue();
    }
}
