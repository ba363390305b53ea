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

/** Tests which decode server is asked for a reservation. */
class DecodeServerSelectorTest {

    private final DirectServer only = TestServers.model("d-1", Stage.DECODE);
    private final ServerHealthRegistry board = new ServerHealthRegistry();
    private final DecodeServerSelector capacity = new DecodeServerSelector("a", () -> 0.99);

    @ParameterizedTest
    @CsvSource({"1, 60", "2, 30", "4, 15", "40, 10"})
    void aFullServerIsAskedAgainSoonerTheMoreRequestsWait(int waiting, long pauseMillis) {
        capacity.recordRefusal(only, waiting, 1_000);
        assertThat(asked(1_000 + pauseMillis - 1)).isEmpty();
        assertThat(asked(1_000 + pauseMillis)).contains(only);
    }

    /**
     * Replays a full server whose streams end every 40 ms, and two entries, one of which has three
     * times the other's arrivals.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theBusierEntryGetsMoreOfWhatOthersFree(long seed) {
        Random random = new Random(seed);
        DecodeServerSelector[] entries = {
            new DecodeServerSelector("a", () -> 0.99), new DecodeServerSelector("a", () -> 0.99)
        };
        int[] waiting = {6, 2};
        int[] granted = new int[2];
        int free = 0;
        long[] nextLook = {0, 7};
        for (long now = 0; now < 20_000; now++) {
            free += random.nextInt(40) == 0 ? 1 : 0;
            for (int i = 0; i < 2; i++) {
                if (now < nextLook[i]) {
                    continue;
                }
                nextLook[i] = now + 5;
                if (entries[i].choose(List.of(only), Set.of(), board, now).isEmpty()) {
                    continue;
                }
                if (free > 0) {
                    free--;
                    granted[i]++;
                } else {
                    entries[i].recordRefusal(only, waiting[i], now);
                }
            }
        }
        // With the same pause for both it is half for each.
        assertThat(granted[0]).isGreaterThan(granted[1] * 3 / 2);
    }

    @Test
    void serverThatRefusesItsRunsIsLeftAloneFromTheSecondOnUntilOneStarts() {
        capacity.recordRunRefusal(only, 0);
        assertThat(capacity.isRefusingRuns(only)).isFalse();
        assertThat(asked(1)).contains(only);

        capacity.recordRunRefusal(only, 100);
        assertThat(capacity.isRefusingRuns(only)).isTrue();
        assertThat(asked(599)).isEmpty();
        assertThat(asked(600)).contains(only);

        capacity.recordRunRefusal(only, 600);
        assertThat(asked(1_599)).isEmpty();
        capacity.recordRunStart(only);
        assertThat(asked(1_599)).contains(only);
        assertThat(capacity.isRefusingRuns(only)).isFalse();
    }

    @Test
    void endOfAnOwnStreamDoesNotOpenAServerThatRefusesItsRuns() {
        capacity.recordReservation(only, 1_000);
        capacity.recordRunRefusal(only, 0);
        capacity.recordRunRefusal(only, 0);
        capacity.recordRelease(only, 1_000);
        assertThat(asked(499)).isEmpty();
    }

    @Test
    void orderedServerIsLeftAloneForItsTime() {
        capacity.excludeUntil(only, 6_000);
        assertThat(asked(5_999)).isEmpty();
        assertThat(asked(6_000)).contains(only);
    }

    /** Replays twelve seconds in which a server switches its stage, at ten requests a second. */
    @Test
    void fewPromptsAreWastedAtAServerThatSwitchesItsStage() {
        int wasted = 0;
        for (long now = 0; now < 12_000; now += 100) {
            if (asked(now).isPresent()) {
                wasted++;
                capacity.recordRunRefusal(only, now);
            }
        }
        // All 120 if refusals of runs are ignored.
        assertThat(wasted).isLessThanOrEqualTo(8);
    }

    private Optional<DirectServer> asked(long nowMillis) {
        return capacity.choose(List.of(only), Set.of(), board, nowMillis);
    }
}
