package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the selection of servers for plain requests, which uses the outcomes of requests only. */
class ServerSelectorTest {

    private final DirectServer sameZone = TestServers.plain("i-1", "a");
    private final DirectServer otherZone = TestServers.plain("i-2", "b");
    private final List<DirectServer> servers = List.of(sameZone, otherZone);
    private final ServerHealthRegistry healthRegistry = new ServerHealthRegistry();
    private final ServerSelector selector = new ServerSelector("a", healthRegistry, () -> 0.5);

    @Test
    void sameZoneIsPreferredWhileItIsNotSlower() {
        assertThat(selector.choose(servers, Set.of(), 0)).contains(sameZone);
    }

    @ParameterizedTest
    @EnumSource(
            value = CallOutcome.class,
            names = {"UNREACHABLE", "BROKEN", "SILENT"})
    void serverWithTwoHardFailuresIsQuarantinedAndThenGetsOneProbeRequest(CallOutcome failure) {
        fail(sameZone, failure, 0);
        fail(sameZone, failure, 0);
        assertThat(selector.choose(servers, Set.of(), 10)).contains(otherZone);

        ServerHealth health = healthRegistry.get(sameZone);
        assertThat(health.isEligible(499)).isFalse();
        assertThat(health.isEligible(500)).isTrue();
        health.recordStart();
        assertThat(health.isEligible(500)).as("while a probe request is in flight").isFalse();

        health.recordEnd(CallOutcome.ANSWERED, 20, 600);
        assertThat(health.isEligible(600)).isTrue();
    }

    @Test
    void quarantineGrowsToItsLimit() {
        for (int i = 0; i < 20; i++) {
            fail(sameZone, CallOutcome.SILENT, 0);
        }
        assertThat(healthRegistry.get(sameZone).isEligible(3_999)).isFalse();
        assertThat(healthRegistry.get(sameZone).isEligible(4_000)).isTrue();
    }

    @Test
    void quarantinedServerRemainsTheLastResort() {
        fail(sameZone, CallOutcome.SILENT, 0);
        fail(sameZone, CallOutcome.SILENT, 0);
        assertThat(selector.choose(List.of(sameZone), Set.of(), 10)).contains(sameZone);
        assertThat(selector.choose(servers, Set.of(otherZone.incarnation()), 10))
                .contains(sameZone);
        assertThat(
                        selector.choose(
                                servers,
                                Set.of(sameZone.incarnation(), otherZone.incarnation()),
                                10))
                .isEmpty();
    }

    /**
     * Simulates a server that fails 45 of 100 requests but passes its health check. It must lose
     * nearly all of its requests; selection by load alone would leave it a third.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void partiallyFailingServerLosesItsShare(long seed) {
        Random random = new Random(seed);
        List<DirectServer> three =
                List.of(
                        TestServers.plain("i-1", "a"),
                        TestServers.plain("i-2", "a"),
                        TestServers.plain("i-3", "a"));
        ServerSelector randomSelector = new ServerSelector("a", healthRegistry, random::nextDouble);
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            DirectServer server = randomSelector.choose(three, new HashSet<>(), i).orElseThrow();
            sent.merge(server.id(), 1, Integer::sum);
            boolean error = random.nextDouble() < (server.id().equals("i-1") ? 0.45 : 0.01);
            healthRegistry.get(server).recordStart();
            healthRegistry
                    .get(server)
                    .recordEnd(error ? CallOutcome.SERVER_ERROR : CallOutcome.ANSWERED, 30, i);
        }
        assertThat(sent.getOrDefault("i-1", 0)).isLessThan(60);
    }

    private void fail(DirectServer server, CallOutcome outcome, long nowMillis) {
        healthRegistry.get(server).recordStart();
        healthRegistry.get(server).recordEnd(outcome, 100, nowMillis);
    }
}
