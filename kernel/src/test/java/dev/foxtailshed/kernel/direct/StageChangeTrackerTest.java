package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import dev.foxtailshed.kernel.direct.StageChangeTracker.Announcement;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which servers get new work and runs around an announced stage change. */
class StageChangeTrackerTest {

    private static final long COMMAND_MILLIS = 1_500;
    private static final long END_MILLIS = 15_500;

    private final StageChangeTracker tracker = new StageChangeTracker();
    private final DirectServer server = TestServers.model("d-1", Stage.DECODE);
    private final DirectServer other = TestServers.model("d-2", Stage.DECODE);

    @ParameterizedTest
    @CsvSource({
        "DECODE, 1000, false, true",
        "DECODE, 1499, false, true",
        "DECODE, 1500, false, false",
        "DECODE, 15499, false, false",
        "DECODE, 15500, true, true",
        "PREFILL, 1600, true, true"
    })
    void announcedServerGetsNoNewWorkAndFromTheCommandOnNoRuns(
            Stage reported, long nowMillis, boolean getsWork, boolean acceptsRuns) {
        announce();
        DirectServer current = server.withStage(reported);

        assertThat(tracker.withoutAnnounced(List.of(current, other), nowMillis).contains(current))
                .isEqualTo(getsWork);
        assertThat(tracker.isChanging(current, nowMillis)).isNotEqualTo(acceptsRuns);
        assertThat(tracker.withoutAnnounced(List.of(current, other), nowMillis)).contains(other);
        assertThat(tracker.isChanging(other, nowMillis)).isFalse();
    }

    @Test
    void withdrawnAnnouncementHasNoEffect() {
        announce();
        tracker.withdraw(server.incarnation());

        assertThat(tracker.withoutAnnounced(List.of(server), 2_000)).contains(server);
    }

    @Test
    void announcementsForRemovedServersAreDiscarded() {
        announce();
        tracker.retain(List.of(other));

        assertThat(tracker.withoutAnnounced(List.of(server), 2_000)).contains(server);
    }

    /**
     * Simulates a large deployment: thirty entries send three runs a second each to twenty servers,
     * one of which changes its stage for eleven seconds. Without announcements, each entry excludes
     * the server only after refused runs.
     */
    @Test
    void announcementSavesTheRefusedRunsOfManyEntries() {
        assertThat(refusedRuns(false)).isGreaterThan(60);
        assertThat(refusedRuns(true)).isZero();
    }

    private int refusedRuns(boolean announced) {
        List<DirectServer> servers = new ArrayList<>(List.of(server));
        for (int i = 1; i < 20; i++) {
            servers.add(TestServers.model("other-" + i, Stage.DECODE));
        }
        Random random = new Random(1);
        int refused = 0;
        for (int entry = 0; entry < 30; entry++) {
            DecodeServerSelector selector = new DecodeServerSelector("a", random::nextDouble);
            ServerHealthRegistry health = new ServerHealthRegistry();
            StageChangeTracker entryTracker = new StageChangeTracker();
            if (announced) {
                entryTracker.announce(
                        server.incarnation(), new Announcement(Stage.PREFILL, 0, END_MILLIS));
            }
            for (long now = 0; now < 11_000; now += 333) {
                List<DirectServer> candidates = entryTracker.withoutAnnounced(servers, now);
                DirectServer chosen =
                        selector.choose(candidates, Set.of(), health, false, now).orElseThrow();
                if (chosen.equals(server)) {
                    refused++;
                    selector.recordRunRefusal(server, now);
                } else {
                    selector.recordReservation(chosen, 3_500);
                }
            }
        }
        return refused;
    }

    private void announce() {
        tracker.announce(
                server.incarnation(), new Announcement(Stage.PREFILL, COMMAND_MILLIS, END_MILLIS));
    }
}
