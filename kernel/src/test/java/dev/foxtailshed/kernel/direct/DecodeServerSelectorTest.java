package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests to which decode server a reservation request is sent. */
class DecodeServerSelectorTest {

    private final DirectServer server = TestServers.model("d-1", Stage.DECODE);
    private final ServerHealthRegistry healthRegistry = new ServerHealthRegistry();
    private final DecodeServerSelector selector = new DecodeServerSelector("a", () -> 0.99);

    @ParameterizedTest
    @CsvSource({"1, 60", "2, 30", "4, 15", "40, 10"})
    void pauseAfterRefusalIsShorterTheMoreRequestsWait(int waiting, long pauseMillis) {
        selector.recordRefusal(server, waiting, false, 1_000);
        assertThat(selectServer(1_000 + pauseMillis - 1)).isEmpty();
        assertThat(selectServer(1_000 + pauseMillis)).contains(server);
    }

    /** A demand below one comes from less urgent requests; the pause must stay bounded. */
    @ParameterizedTest
    @CsvSource({"0.5, 120", "0.1, 120", "1.5, 40"})
    void pauseAfterRefusalIsLongerForLessUrgentRequests(double demand, long pauseMillis) {
        selector.recordRefusal(server, demand, false, 1_000);
        assertThat(selectServer(1_000 + pauseMillis - 1)).isEmpty();
        assertThat(selectServer(1_000 + pauseMillis)).contains(server);
    }

    /** Otherwise the entry would take what more urgent requests at other entries wait for. */
    @Test
    void yieldedReleaseDoesNotEndThePause() {
        selector.recordReservation(server, 1_000);
        selector.recordReservation(server, 1_000);
        selector.recordRefusal(server, 1, false, 1_000);
        selector.recordYieldedRelease(server, 1_000);
        assertThat(selectServer(1_001)).isEmpty();
        selector.recordRelease(server, 1_000);
        assertThat(selectServer(1_001)).contains(server);
    }

    /**
     * Simulates a full server on which a stream ends every 40 ms on average, and two entries, one
     * of which has three times the other's arrivals.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void busierEntryGetsMoreOfTheFreedCapacity(long seed) {
        Random random = new Random(seed);
        DecodeServerSelector[] entries = {
            new DecodeServerSelector("a", () -> 0.99), new DecodeServerSelector("a", () -> 0.99)
        };
        int[] waiting = {6, 2};
        int[] granted = new int[2];
        int free = 0;
        long[] nextAttemptMillis = {0, 7};
        for (long now = 0; now < 20_000; now++) {
            free += random.nextInt(40) == 0 ? 1 : 0;
            for (int i = 0; i < 2; i++) {
                if (now < nextAttemptMillis[i]) {
                    continue;
                }
                nextAttemptMillis[i] = now + 5;
                if (entries[i]
                        .choose(List.of(server), Set.of(), healthRegistry, false, now)
                        .isEmpty()) {
                    continue;
                }
                if (free > 0) {
                    free--;
                    granted[i]++;
                } else {
                    entries[i].recordRefusal(server, waiting[i], false, now);
                }
            }
        }
        // With equal pauses, each entry would get half.
        assertThat(granted[0]).isGreaterThan(granted[1] * 3 / 2);
    }

    @Test
    void serverIsExcludedFromTheSecondRefusedRunUntilOneStarts() {
        selector.recordRunRefusal(server, 0);
        assertThat(selector.isRefusingRuns(server)).isFalse();
        assertThat(selectServer(1)).contains(server);

        selector.recordRunRefusal(server, 100);
        assertThat(selector.isRefusingRuns(server)).isTrue();
        assertThat(selectServer(599)).isEmpty();
        assertThat(selectServer(600)).contains(server);

        selector.recordRunRefusal(server, 600);
        assertThat(selectServer(1_599)).isEmpty();
        selector.recordRunStart(server);
        assertThat(selectServer(1_599)).contains(server);
        assertThat(selector.isRefusingRuns(server)).isFalse();
    }

    @Test
    void endOfAStreamDoesNotEndTheExclusionOfAServerThatRefusesRuns() {
        selector.recordReservation(server, 1_000);
        selector.recordRunRefusal(server, 0);
        selector.recordRunRefusal(server, 0);
        selector.recordRelease(server, 1_000);
        assertThat(selectServer(499)).isEmpty();
    }

    /** Simulates twelve seconds in which a server changes its stage, at ten requests per second. */
    @Test
    void fewPromptsAreWastedAtAServerThatChangesItsStage() {
        int wasted = 0;
        for (long now = 0; now < 12_000; now += 100) {
            if (selectServer(now).isPresent()) {
                wasted++;
                selector.recordRunRefusal(server, now);
            }
        }
        // If refused runs were ignored, all 120 prompts would be wasted.
        assertThat(wasted).isLessThanOrEqualTo(8);
    }

    /**
     * Patient requests leave capacity spare at a server. Otherwise an urgent request would find a
     * full pool excluded, though most servers have room for it.
     */
    @Test
    void urgentRequestIgnoresRefusalsOfPatientOnes() {
        selector.recordRefusal(server, 1, false, 1_000);
        assertThat(chooseUrgent(1_001)).contains(server);
        selector.recordRefusal(server, 1, true, 1_001);
        assertThat(chooseUrgent(1_002)).isEmpty();
        assertThat(chooseUrgent(1_062)).contains(server);
    }

    private Optional<DirectServer> chooseUrgent(long nowMillis) {
        return selector.choose(List.of(server), Set.of(), healthRegistry, true, nowMillis);
    }

    private Optional<DirectServer> selectServer(long nowMillis) {
        return selector.choose(List.of(server), Set.of(), healthRegistry, false, nowMillis);
    }
}
