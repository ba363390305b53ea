package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.FairnessLoad.Behavior;
import dev.foxtailshed.kernel.direct.FairnessReplay.Kind;
import dev.foxtailshed.kernel.direct.FairnessReplay.Order;
import dev.foxtailshed.kernel.direct.FairnessReport.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays loads in which workspaces compete for a full model pool, at entries that each see a part
 * of them, and compares with the order by priority and arrival.
 *
 * <p>The goals are those of docs/design/hard-load.md: capacity is shared among workspaces, not
 * according to who sends the most or who retries first; urgent work is served first; a workspace
 * that crowds out others waits and is rejected first; no workspace and no route is served at a
 * quarter of the overall rate or less. Bounds that compare are against the baseline or between
 * workspaces.
 */
class AdmissionFairnessReplayTest {

    /** Enough for some hundred requests of the smallest workspace. */
    private static final int SEEDS = 24;

    private static final long BURST_MILLIS = 6_500;

    private static final double MINIMUM_RATE = 0.25;

    private static FairnessReport replayBoth(FairnessLoad load, FairnessReport[] baseline) {
        int seeds = (int) Math.max(1, SEEDS * BURST_MILLIS / load.burstMillis());
        baseline[0] = FairnessReplay.replay(load, Order.BY_ARRIVAL, seeds);
        FairnessReport fair = FairnessReplay.replay(load, Order.FAIR, seeds);
        fair.printBeside(baseline[0]);
        return fair;
    }

    private static void assertNobodyStarves(FairnessLoad load, FairnessReport report) {
        double bound = MINIMUM_RATE * report.all().servedShare();
        for (int i = 0; i < load.workspaces().size(); i++) {
            assertThat(report.ofWorkspace(i).servedShare())
                    .as("workspace %d", i)
                    .isGreaterThan(bound);
        }
        for (Kind kind : Kind.values()) {
            assertThat(report.ofKind(kind).servedShare()).as("%s", kind).isGreaterThan(bound);
        }
    }

    /** The workspaces that send more must not take the share of the others. */
    private static void assertHotWorkspacesGiveWay(FairnessLoad load, List<Integer> hot) {
        FairnessReport[] baseline = new FairnessReport[1];
        FairnessReport fair = replayBoth(load, baseline);

        Outcome hotOnes = fair.sum((workspace, kind) -> hot.contains(workspace));
        Outcome others = fair.sum((workspace, kind) -> !hot.contains(workspace));
        Outcome othersBefore = baseline[0].sum((workspace, kind) -> !hot.contains(workspace));
        assertThat(others.inTimeShare()).isGreaterThan(othersBefore.inTimeShare());
        assertThat(others.meanWaitMillis()).isLessThan(othersBefore.meanWaitMillis());
        assertThat(hotOnes.servedShare()).isLessThan(others.servedShare());
        assertThat(hotOnes.meanWaitMillis()).isGreaterThan(others.meanWaitMillis());
        assertNobodyStarves(load, fair);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void oneWorkspaceAtSevenTimesItsUsualGivesWay(int hot) {
        String name = "(a) workspace " + hot + " at 7 times its usual for 6.5 s";
        List<Integer> hotOnes = List.of(hot);
        assertHotWorkspacesGiveWay(FairnessLoad.hotWorkspaces(name, 7, hotOnes), hotOnes);
    }

    @Test
    void threeHotWorkspacesGiveWay() {
        List<Integer> hot = List.of(1, 3, 5);
        String name = "(b) workspaces 1, 3 and 5 at 6 times their usual for 6.5 s";
        assertHotWorkspacesGiveWay(FairnessLoad.hotWorkspaces(name, 6, hot), hot);
    }

    /** In the baseline, whoever returns at once takes the capacity of those that wait. */
    @Test
    void callersThatReturnAtOnceDoNotGain() {
        FairnessLoad polite =
                FairnessLoad.pairs(
                        "(c) burst of 2, all callers return later",
                        Behavior.RETURN_LATER,
                        Behavior.RETURN_LATER);
        FairnessLoad impatient =
                FairnessLoad.pairs(
                        "(c) burst of 2, callers of odd workspaces return at once",
                        Behavior.RETURN_LATER,
                        Behavior.RETURN_AT_ONCE);
        FairnessReport[] baseline = new FairnessReport[1];
        FairnessReport fairIfPolite = replayBoth(polite, baseline);
        FairnessReport baselineIfPolite = baseline[0];
        FairnessReport fair = replayBoth(impatient, baseline);

        Outcome odd = fair.sum((workspace, kind) -> workspace % 2 == 1);
        Outcome even = fair.sum((workspace, kind) -> workspace % 2 == 0);
        Outcome oddIfPolite = fairIfPolite.sum((workspace, kind) -> workspace % 2 == 1);
        Outcome evenIfPolite = fairIfPolite.sum((workspace, kind) -> workspace % 2 == 0);
        assertThat(odd.inTimeShare()).isLessThan(oddIfPolite.inTimeShare());
        assertThat(odd.inTimeShare()).isLessThan(even.inTimeShare());
        double lost = evenIfPolite.inTimeShare() - even.inTimeShare();
        double lostBefore =
                baselineIfPolite.sum((workspace, kind) -> workspace % 2 == 0).inTimeShare()
                        - baseline[0].sum((workspace, kind) -> workspace % 2 == 0).inTimeShare();
        assertThat(lost).isLessThan(lostBefore);
        assertNobodyStarves(impatient, fair);
    }

    /** Entries with patient requests only must not take what urgent ones elsewhere wait for. */
    @ParameterizedTest
    @ValueSource(doubles = {1.7, 2.3})
    void urgentStreamsAreServedFirstAtFullPool(double overload) {
        String name = "(d) urgent and patient streams, pool overloaded " + overload + " times";
        FairnessLoad load = FairnessLoad.fullPool(name, overload);
        FairnessReport[] baseline = new FairnessReport[1];
        FairnessReport fair = replayBoth(load, baseline);

        Outcome urgent = fair.ofKind(Kind.URGENT);
        Outcome urgentBefore = baseline[0].ofKind(Kind.URGENT);
        assertThat(urgent.servedShare()).isGreaterThan(fair.ofKind(Kind.PATIENT).servedShare());
        assertThat(urgent.inTimeShare()).isGreaterThan(urgentBefore.inTimeShare());
        assertThat(urgent.meanWaitMillis()).isLessThan(urgentBefore.meanWaitMillis());
        assertNobodyStarves(load, fair);
    }

    @Test
    void largeWorkspacesGiveWayToSmallOnesInGeneralBurst() {
        FairnessLoad load = FairnessLoad.generalBurst("(e) all workspaces at 2.3 times", 2.3);
        FairnessReport[] baseline = new FairnessReport[1];
        FairnessReport fair = replayBoth(load, baseline);

        int equalShare = load.workspaces().size();
        Outcome small = fair.sum((t, kind) -> load.workspaces().get(t).share() < 1.0 / equalShare);
        Outcome large = fair.sum((t, kind) -> load.workspaces().get(t).share() >= 1.0 / equalShare);
        Outcome smallBefore =
                baseline[0].sum((t, kind) -> load.workspaces().get(t).share() < 1.0 / equalShare);
        assertThat(small.inTimeShare()).isGreaterThan(smallBefore.inTimeShare());
        assertThat(small.inTimeShare()).isGreaterThan(large.inTimeShare());
        assertNobodyStarves(load, fair);
    }

    /**
     * Strict urgency starves the other workspaces for as long as the urgent ones fill the pool. The
     * turns must not delay the most urgent streams.
     */
    @ParameterizedTest
    @CsvSource({"28, 6500", "28, 50000", "1, 50000"})
    void lessUrgentWorkspacesGetTurns(int entries, long burstMillis) {
        String name =
                "(f) urgent workspaces at 4 times for " + burstMillis + " ms, entries: " + entries;
        FairnessLoad load =
                FairnessLoad.urgentWorkspaces(name, 4)
                        .withEntries(entries)
                        .withBurstMillis(burstMillis);
        FairnessReport[] baseline = new FairnessReport[1];
        FairnessReport fair = replayBoth(load, baseline);

        Outcome mostUrgent = fair.sum((workspace, kind) -> workspace < 3 && kind == Kind.URGENT);
        Outcome mostUrgentBefore =
                baseline[0].sum((workspace, kind) -> workspace < 3 && kind == Kind.URGENT);
        assertThat(mostUrgent.inTimeShare()).isGreaterThanOrEqualTo(mostUrgentBefore.inTimeShare());
        assertNobodyStarves(load, fair);
    }
}
