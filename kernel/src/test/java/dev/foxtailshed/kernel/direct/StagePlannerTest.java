package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import dev.foxtailshed.kernel.direct.StagePlan.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when model servers are ordered to change their stage. */
class StagePlannerTest {

    private static final long SWITCH_MILLIS = 6_000;

    private final StagePlanner planner = new StagePlanner(new StagePlan(1.0 / 3));

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 0", "2, 1", "3, 1", "6, 2", "7, 2", "31, 10", "36, 12"})
    void wantedSplitFollowsTheShare(int servers, int expected) {
        assertThat(new StagePlan(1.0 / 3).wantedPrefill(servers)).isEqualTo(expected);
    }

    @Test
    void aGrowingListIsNotActedOn() {
        for (int count = 1; count <= 6; count++) {
            assertThat(planner.decide(servers(count, 0), false, count * 1_000L)).isEmpty();
        }
        assertThat(planner.decide(servers(6, 0), false, 7_999)).isEmpty();
        assertThat(planner.decide(servers(6, 0), false, 8_000)).isPresent();
    }

    @Test
    void withoutLoadAllChangesAreOrderedAtOnce() {
        List<DirectServer> servers = servers(4, 2);
        planner.decide(servers, false, 0);
        List<Change> changes = new ArrayList<>();
        for (long now = 2_000; now < 4_000; now += 500) {
            Optional<Change> change = planner.decide(servers, false, now);
            change.ifPresent(changes::add);
            if (change.isPresent()) {
                planner.ordered(change.get(), SWITCH_MILLIS, now);
            }
        }
        assertThat(changes).hasSize(2).allMatch(change -> change.stage() == Stage.DECODE);
        assertThat(changes.get(0).server()).isNotEqualTo(changes.get(1).server());
    }

    @Test
    void underLoadOneServerSwitchesAtATimeAndOnlyAfterACrashHadTimeToEnd() {
        List<DirectServer> servers = servers(4, 2);
        planner.decide(servers, true, 0);
        assertThat(planner.decide(servers, true, 7_999)).isEmpty();
        Change change = planner.decide(servers, true, 8_000).orElseThrow();
        planner.ordered(change, SWITCH_MILLIS, 8_000);
        assertThat(planner.decide(servers, true, 8_500)).isEmpty();
    }

    @Test
    void orderThatIsNotCarriedOutIsGivenAgainAfterItsTime() {
        List<DirectServer> servers = servers(3, 3);
        planner.decide(servers, false, 0);
        Change first = planner.decide(servers, false, 2_000).orElseThrow();
        planner.ordered(first, SWITCH_MILLIS, 2_000);
        assertThat(planner.decide(servers, false, 10_900)).isEmpty();
        planner.decide(servers, false, 11_100);
        assertThat(planner.decide(servers, false, 13_200)).isPresent();
    }

    @Test
    void aStageWithoutServersIsFilledSooner() {
        List<DirectServer> decodeOnly = servers(0, 4);
        planner.decide(decodeOnly, true, 0);
        assertThat(planner.decide(decodeOnly, true, 2_999)).isEmpty();
        assertThat(planner.decide(decodeOnly, true, 3_000).map(Change::stage))
                .contains(Stage.PREFILL);
    }

    private static List<DirectServer> servers(int prefill, int decode) {
        List<DirectServer> servers = new ArrayList<>();
        for (int i = 0; i < prefill; i++) {
            servers.add(Servers.model("p-" + i, Stage.PREFILL));
        }
        for (int i = 0; i < decode; i++) {
            servers.add(Servers.model("d-" + i, Stage.DECODE));
        }
        return servers;
    }
}
