package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import dev.foxtailshed.kernel.direct.StageSplitPolicy.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when model servers are commanded to change their stage. */
class StagePlannerTest {

    private static final long SWITCH_MILLIS = 6_000;
    private static final double THIRD = 1.0 / 3;

    private final StagePlanner planner = new StagePlanner();

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 0", "2, 1", "3, 1", "6, 2", "7, 2", "31, 10", "36, 12"})
    void targetSplitFollowsTheShare(int servers, int expected) {
        assertThat(new StageSplitPolicy().targetPrefillServers(servers, THIRD, 0, false))
                .isEqualTo(expected);
    }

    @Test
    void noChangeIsMadeWhileTheListGrows() {
        for (int count = 1; count <= 6; count++) {
            assertThat(planner.decide(servers(count, 0), List.of(), THIRD, false, count * 1_000L))
                    .isEmpty();
        }
        assertThat(planner.decide(servers(6, 0), List.of(), THIRD, false, 7_999)).isEmpty();
        assertThat(planner.decide(servers(6, 0), List.of(), THIRD, false, 8_000)).isPresent();
    }

    @Test
    void withoutLoadAllChangesAreMadeAtOnce() {
        List<DirectServer> servers = servers(4, 2);
        planner.decide(servers, List.of(), THIRD, false, 0);
        List<Change> changes = new ArrayList<>();
        for (long now = 2_000; now < 4_000; now += 500) {
            Optional<Change> change = planner.decide(servers, List.of(), THIRD, false, now);
            change.ifPresent(changes::add);
            if (change.isPresent()) {
                planner.recordStageChange(change.get(), SWITCH_MILLIS, now);
            }
        }
        assertThat(changes).hasSize(2).allMatch(change -> change.stage() == Stage.DECODE);
        assertThat(changes.get(0).server()).isNotEqualTo(changes.get(1).server());
    }

    @Test
    void underLoadOneServerChangesAtATimeAndOnlyAfterTheListHasSettled() {
        List<DirectServer> servers = servers(4, 2);
        planner.decide(servers, List.of(), THIRD, true, 0);
        assertThat(planner.decide(servers, List.of(), THIRD, true, 7_999)).isEmpty();
        Change change = planner.decide(servers, List.of(), THIRD, true, 8_000).orElseThrow();
        planner.recordStageChange(change, SWITCH_MILLIS, 8_000);
        assertThat(planner.decide(servers, List.of(), THIRD, true, 8_500)).isEmpty();
    }

    @Test
    void stageChangeThatIsNotCarriedOutIsRepeatedAfterItsTimeout() {
        List<DirectServer> servers = servers(3, 3);
        planner.decide(servers, List.of(), THIRD, false, 0);
        Change first = planner.decide(servers, List.of(), THIRD, false, 2_000).orElseThrow();
        planner.recordStageChange(first, SWITCH_MILLIS, 2_000);
        assertThat(planner.decide(servers, List.of(), THIRD, false, 10_900)).isEmpty();
        planner.decide(servers, List.of(), THIRD, false, 11_100);
        assertThat(planner.decide(servers, List.of(), THIRD, false, 13_200)).isPresent();
    }

    @Test
    void stageWithoutServersIsFilledSooner() {
        List<DirectServer> decodeOnly = servers(0, 4);
        planner.decide(decodeOnly, List.of(), THIRD, true, 0);
        assertThat(planner.decide(decodeOnly, List.of(), THIRD, true, 2_999)).isEmpty();
        assertThat(planner.decide(decodeOnly, List.of(), THIRD, true, 3_000).map(Change::stage))
                .contains(Stage.PREFILL);
    }

    @ParameterizedTest
    @CsvSource({"true, 1000", "false, 8000"})
    void announcedDepartureIsReplacedSoonerThanAServerThatMayReturn(
            boolean announced, long settleMillis) {
        List<DirectServer> before = servers(2, 3);
        DirectServer departed = before.get(1);
        List<DirectServer> draining = announced ? List.of(departed) : List.of();
        List<DirectServer> after = new ArrayList<>(before);
        after.remove(departed);
        double share = 0.45;
        planner.decide(before, List.of(), share, true, 0);
        assertThat(planner.decide(before, List.of(), share, true, 20_000)).isEmpty();

        assertThat(planner.decide(after, draining, share, true, 20_500)).isEmpty();

        long dueMillis = 20_500 + settleMillis;
        assertThat(planner.decide(after, draining, share, true, dueMillis - 1)).isEmpty();
        assertThat(planner.decide(after, draining, share, true, dueMillis).map(Change::stage))
                .contains(Stage.PREFILL);
    }

    @Test
    void noChangeIsMadeUntilJoinedServersHaveSettled() {
        List<DirectServer> before = servers(2, 3);
        List<DirectServer> after = new ArrayList<>(before);
        DirectServer departed = after.remove(1);
        after.add(TestServers.model("new", Stage.DECODE));
        planner.decide(before, List.of(), 0.45, true, 0);
        planner.decide(after, List.of(departed), 0.45, true, 20_000);
        assertThat(planner.decide(after, List.of(departed), 0.45, true, 27_999)).isEmpty();
        assertThat(planner.decide(after, List.of(departed), 0.45, true, 28_000)).isPresent();
    }

    /**
     * Simulates a crash of one prefill server and the departure of the other one as the first
     * returns.
     */
    @Test
    void returnOfACrashedServerDoesNotDelayTheReplacementOfADepartedOne() {
        List<DirectServer> all = servers(2, 4);
        DirectServer crashed = all.get(0);
        DirectServer departed = all.get(1);
        DirectServer returned = TestServers.restarted(crashed, "p-again");
        List<DirectServer> withoutBoth = new ArrayList<>(all.subList(2, 6));
        List<DirectServer> withReturned = new ArrayList<>(withoutBoth);
        withReturned.add(returned);
        double share = 0.4;
        planner.decide(all, List.of(), share, true, 0);
        planner.decide(all.subList(1, 6), List.of(), share, true, 20_000);
        planner.decide(withoutBoth, List.of(departed), share, true, 21_000);
        planner.decide(withReturned, List.of(departed), share, true, 21_100);

        assertThat(planner.decide(withReturned, List.of(departed), share, true, 22_099)).isEmpty();
        assertThat(
                        planner.decide(withReturned, List.of(departed), share, true, 22_100)
                                .map(Change::stage))
                .contains(Stage.PREFILL);
    }

    @ParameterizedTest
    @CsvSource({"0.28, 2, 2", "0.28, 3, 2", "0.28, 1, 1", "0.20, 2, 1", "0.45, 2, 2", "0.46, 2, 3"})
    void splitNearTheTargetStays(double share, int current, int expected) {
        assertThat(new StageSplitPolicy().targetPrefillServers(6, share, current, true))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "36, 0.30, 9, true, 9",
        "36, 0.30, 9, false, 11",
        "36, 0.30, 8, true, 11",
        "6, 0.28, 1, true, 1",
        "6, 0.30, 1, true, 2"
    })
    void largeServiceUnderLoadChangesOnlyForALargerDeviation(
            int servers, double share, int current, boolean loaded, int expected) {
        assertThat(new StageSplitPolicy().targetPrefillServers(servers, share, current, loaded))
                .isEqualTo(expected);
    }

    /** Two entries' estimates of the share differ; the second one would undo the first change. */
    @ParameterizedTest
    @CsvSource({"false, 25000", "true, 17500"})
    void changeIsNotReversedForAWhileUnlessServersLeave(boolean serverLeaves, long dueMillis) {
        List<DirectServer> servers = servers(3, 5);
        planner.decide(servers, List.of(), 0.2, true, 0);
        Change change = planner.decide(servers, List.of(), 0.2, true, 8_000).orElseThrow();
        planner.recordStageChange(change, SWITCH_MILLIS, 5_000);
        List<DirectServer> changed = new ArrayList<>(servers);
        changed.remove(change.server());
        changed.add(change.server().withStage(Stage.DECODE));
        planner.decide(changed, List.of(), 0.2, true, 14_500);
        if (serverLeaves) {
            planner.decide(changed, List.of(), 0.2, true, 16_400);
            DirectServer left = changed.remove(0);
            planner.decide(changed, List.of(left), 0.2, true, 16_500);
        }

        assertThat(planner.decide(changed, List.of(), 0.45, true, dueMillis - 1)).isEmpty();
        assertThat(planner.decide(changed, List.of(), 0.45, true, dueMillis).map(Change::stage))
                .contains(Stage.PREFILL);
    }

    private static List<DirectServer> servers(int prefill, int decode) {
        List<DirectServer> servers = new ArrayList<>();
        for (int i = 0; i < prefill; i++) {
            servers.add(TestServers.model("p-" + i, Stage.PREFILL));
        }
        for (int i = 0; i < decode; i++) {
            servers.add(TestServers.model("d-" + i, Stage.DECODE));
        }
        return servers;
    }
}
