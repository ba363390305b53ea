package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import dev.foxtailshed.kernel.direct.PrefillServerSelector.Claim;
import dev.foxtailshed.kernel.direct.PrefillServerSelector.Prompt;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the selection of the server that processes a prompt. */
class PrefillServerSelectorTest {

    private final DirectServer first = TestServers.model("p-1", Stage.PREFILL);
    private final DirectServer second = TestServers.model("p-2", Stage.PREFILL);
    private final List<DirectServer> both = List.of(first, second);
    private final ServerHealthRegistry healthRegistry = new ServerHealthRegistry();
    private final PrefillServerSelector selector =
            new PrefillServerSelector("a", () -> 0.035, () -> 0.99);

    @Test
    void leastBusyServerIsSelected() {
        selector.recordStart(first, 3_000);
        assertThat(selector.choose(both, Set.of(), healthRegistry, 0)).contains(second);
        selector.recordStart(second, 5_000);
        assertThat(selector.choose(both, Set.of(), healthRegistry, 0)).contains(first);
        selector.recordEnd(second, 5_000);
        assertThat(selector.choose(both, Set.of(), healthRegistry, 0)).contains(second);
    }

    @Test
    void serverWithExpiringHandlesIsExcludedForLongerEachTimeUntilOneIsUsed() {
        selector.recordExpiredHandle(first, 0);
        assertThat(selector.choose(List.of(first), Set.of(), healthRegistry, 499)).isEmpty();
        assertThat(selector.choose(List.of(first), Set.of(), healthRegistry, 500)).contains(first);
        selector.recordExpiredHandle(first, 500);
        assertThat(selector.choose(both, Set.of(), healthRegistry, 1_499)).contains(second);
        assertThat(selector.choose(List.of(first), Set.of(), healthRegistry, 1_499)).isEmpty();

        selector.recordUsedHandle(first);
        assertThat(selector.choose(List.of(first), Set.of(), healthRegistry, 1_499))
                .contains(first);
    }

    @Test
    void promptWaitsWhileEveryServerIsAtItsLimit() {
        Prompt prompt = new Prompt(2_000, 3_000);
        assertThat(claim(prompt)).contains(new Claim(Optional.of(first)));
        assertThat(claim(prompt)).contains(new Claim(Optional.of(second)));
        assertThat(claim(prompt)).isEmpty();
        assertThat(claim(new Prompt(1_000, 3_000))).isPresent();

        selector.recordEnd(second, 2_000);

        assertThat(claim(prompt)).contains(new Claim(Optional.of(second)));
    }

    @Test
    void promptAboveTheLimitIsSentToAnIdleServer() {
        assertThat(claim(new Prompt(6_000, 3_000))).contains(new Claim(Optional.of(first)));
    }

    @Test
    void promptDoesNotWaitIfNoServerIsEligible() {
        selector.recordExpiredHandle(first, 0);
        selector.recordExpiredHandle(second, 0);
        assertThat(claim(new Prompt(2_000, 3_000))).contains(new Claim(Optional.empty()));
    }

    @Test
    void lastWaitCountsUntilItHasPassed() {
        selector.recordPrefill(first, 3_000, 405, 1_000);
        assertThat(selector.choose(both, Set.of(), healthRegistry, 1_000)).contains(second);
        selector.recordStart(second, 4_000);
        assertThat(selector.choose(both, Set.of(), healthRegistry, 1_100)).contains(second);
        assertThat(selector.choose(both, Set.of(), healthRegistry, 1_200)).contains(first);
    }

    /** Simulates thirty entries that each send one prompt per second to nine servers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void manyEntriesSpreadTheirPrompts(long seed) {
        Random random = new Random(seed);
        List<DirectServer> servers = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            servers.add(TestServers.model("p-" + i, Stage.PREFILL));
        }
        int[] chosen = new int[9];
        for (int entry = 0; entry < 30; entry++) {
            PrefillServerSelector entrySelector =
                    new PrefillServerSelector("a", () -> 0.035, random::nextDouble);
            for (int i = 0; i < 10; i++) {
                DirectServer server =
                        entrySelector
                                .choose(servers, Set.of(), healthRegistry, i * 1_000L)
                                .orElseThrow();
                chosen[servers.indexOf(server)]++;
            }
        }
        // The mean is 33; selection in list order would send all 300 to the first server.
        assertThat(Arrays.stream(chosen).max().orElseThrow()).isLessThan(60);
    }

    private Optional<Claim> claim(Prompt prompt) {
        return selector.claim(both, Set.of(), healthRegistry, 0, prompt);
    }

    /** Simulates four seconds in which the handles of one of two servers expire at once. */
    @Test
    void fewPromptsAreWastedAtAServerWithExpiringHandles() {
        int wasted = 0;
        for (long now = 0; now < 4_000; now += 70) {
            DirectServer server =
                    selector.choose(both, Set.of(), healthRegistry, now).orElseThrow();
            if (server.equals(first)) {
                wasted++;
                selector.recordExpiredHandle(first, now);
            } else {
                selector.recordUsedHandle(server);
            }
        }
        // Selection of the least busy server alone would waste all prompts.
        assertThat(wasted).isLessThanOrEqualTo(4);
    }
}
