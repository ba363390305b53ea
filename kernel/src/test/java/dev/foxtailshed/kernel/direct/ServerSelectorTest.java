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

/** Tests the choice of servers for plain requests, from outcomes of requests alone. */
class ServerSelectorTest {

    private final DirectServer near = TestServers.plain("i-1", "a");
    private final DirectServer far = TestServers.plain("i-2", "b");
    private final List<DirectServer> servers = List.of(near, far);
    private final ServerHealthRegistry board = new ServerHealthRegistry();
    private final ServerSelector selector = new ServerSelector("a", board, () -> 0.5);

    @Test
    void ownZoneIsPreferredWhileItIsNotSlower() {
        assertThat(selector.choose(servers, Set.of(), 0)).contains(near);
    }

    @ParameterizedTest
    @EnumSource(
            value = CallOutcome.class,
            names = {"UNREACHABLE", "BROKEN", "SILENT"})
    void serverWithTwoHardFailuresIsLeftAloneAndThenTriedByOneRequest(CallOutcome failure) {
        fail(near, failure, 0);
        fail(near, failure, 0);
        assertThat(selector.choose(servers, Set.of(), 10)).contains(far);

        ServerHealth health = board.get(near);
        assertThat(health.isEligible(499)).isFalse();
        assertThat(health.isEligible(500)).isTrue();
        health.recordStart();
        assertThat(health.isEligible(500)).as("while one request tries it").isFalse();

        health.recordEnd(CallOutcome.ANSWERED, 20, 600);
        assertThat(health.isEligible(600)).isTrue();
    }

    @Test
    void quarantineGrowsToItsLimit() {
        for (int i = 0; i < 20; i++) {
            fail(near, CallOutcome.SILENT, 0);
        }
        assertThat(board.get(near).isEligible(3_999)).isFalse();
        assertThat(board.get(near).isEligible(4_000)).isTrue();
    }

    @Test
    void quarantinedServerRemainsTheLastResort() {
        fail(near, CallOutcome.SILENT, 0);
        fail(near, CallOutcome.SILENT, 0);
        assertThat(selector.choose(List.of(near), Set.of(), 10)).contains(near);
        assertThat(selector.choose(servers, Set.of(far.incarnation()), 10)).contains(near);
        assertThat(selector.choose(servers, Set.of(near.incarnation(), far.incarnation()), 10))
                .isEmpty();
    }

    /**
     * Replays a server that fails 45 of 100 requests while its health check is good: it must lose
     * nearly all of its requests, where the choice by load alone leaves it a third.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void greyServerLosesItsShare(long seed) {
        Random random = new Random(seed);
        List<DirectServer> three =
                List.of(
                        TestServers.plain("i-1", "a"),
                        TestServers.plain("i-2", "a"),
                        TestServers.plain("i-3", "a"));
        ServerSelector choice = new ServerSelector("a", board, random::nextDouble);
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            DirectServer server = choice.choose(three, new HashSet<>(), i).orElseThrow();
            sent.merge(server.id(), 1, Integer::sum);
            boolean error = random.nextDouble() < (server.id().equals("i-1") ? 0.45 : 0.01);
            board.get(server).recordStart();
            board.get(server)
                    .recordEnd(error ? CallOutcome.SERVER_ERROR : CallOutcome.ANSWERED, 30, i);
        }
        assertThat(sent.getOrDefault("i-1", 0)).isLessThan(60);
    }

    private void fail(DirectServer server, CallOutcome outcome, long nowMillis) {
        board.get(server).recordStart();
        board.get(server).recordEnd(outcome, 100, nowMillis);
    }
}
