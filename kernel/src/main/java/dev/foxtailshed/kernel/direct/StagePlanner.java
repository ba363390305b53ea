package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides when a model server of a service changes its stage.
 *
 * <p>Answers a service whose servers stand in the wrong stages. A server that vanished without
 * having announced it may be back within seconds, so it is counted as present for a while; one that
 * announced its leaving is not. Under load one server changes at a time, since it serves nothing
 * meanwhile. Not thread-safe.
 */
public final class StagePlanner {

    /** How long a list of servers must be unchanged before it is acted on without load. */
    private static final long SETTLE_MILLIS = 2_000;

    /** The same under load after losses; a replacement of a server that leaves starts before it. */
    private static final long LOSS_SETTLE_MILLIS = 1_000;

    /** The same under load after servers joined, since others may follow. */
    private static final long GROWTH_SETTLE_MILLIS = 8_000;

    /** The same where a stage has no server at all, since every request suffers. */
    private static final long EMPTY_STAGE_SETTLE_MILLIS = 3_000;

    /** How long a vanished server counts as present: longer than a crashed one is away. */
    private static final long RETURN_MILLIS = 8_000;

    /** How long after its switch time a server may take to report its new stage. */
    private static final long REPORT_MILLIS = 3_000;

    private final StageSplitPolicy plan = new StageSplitPolicy();
    private final Map<Incarnation, Ordered> ordered = new HashMap<>();
    private final Map<String, Vanished> vanishedByAddress = new HashMap<>();
    private List<DirectServer> lastSeen = List.of();
    private long changedMillis;
    private long grownMillis;

    /**
     * Decides on the next change.
     *
     * @param servers the usable servers of the service
     * @param leaving servers of the service that announced that they leave
     * @param prefillShare the share of servers that should read prompts
     * @param loaded whether requests are being served
     * @param nowMillis the time
     * @return the change to order now
     */
    public Optional<StageSplitPolicy.Change> decide(
            List<DirectServer> servers,
            List<DirectServer> leaving,
            double prefillShare,
            boolean loaded,
            long nowMillis) {
        ordered.values().removeIf(order -> order.endMillis <= nowMillis);
        List<DirectServer> expected = withOrders(servers);
        follow(expected, leaving, nowMillis);
        boolean emptyStage = expected.stream().map(DirectServer::stage).distinct().count() < 2;
        Optional<StageSplitPolicy.Change> change =
                plan.next(expected, emptyStage ? List.of() : expectedBack(), prefillShare, loaded);
        boolean settled = nowMillis >= settledMillis(emptyStage, loaded);
        boolean switching = loaded && !ordered.isEmpty();
        return settled && !switching ? change : Optional.empty();
    }

    /**
     * Notes that a change was ordered.
     *
     * @param change the change
     * @param switchMillis how long the server is away
     * @param nowMillis the time
     */
    public void recordStageChange(
            StageSplitPolicy.Change change, long switchMillis, long nowMillis) {
        ordered.put(
                change.server().incarnation(),
                new Ordered(change.stage(), nowMillis + switchMillis + REPORT_MILLIS));
        // The list that is expected now is the one that the plan wanted.
        lastSeen = withOrders(lastSeen);
    }

    private void follow(List<DirectServer> now, List<DirectServer> leaving, long nowMillis) {
        if (!now.equals(lastSeen)) {
            Set<Incarnation> before = incarnations(lastSeen);
            Set<Incarnation> present = incarnations(now);
            Set<Incarnation> announced = incarnations(leaving);
            lastSeen.stream()
                    .filter(server -> !present.contains(server.incarnation()))
                    .filter(server -> !announced.contains(server.incarnation()))
                    .forEach(server -> vanished(server, nowMillis));
            boolean grown =
                    now.stream()
                            .filter(server -> !before.contains(server.incarnation()))
                            .anyMatch(server -> !vanishedByAddress.containsKey(server.address()));
            grownMillis = grown ? nowMillis : grownMillis;
            changedMillis = nowMillis;
            lastSeen = now;
        }
        now.forEach(server -> vanishedByAddress.remove(server.address()));
        vanishedByAddress.values().removeIf(gone -> gone.endMillis <= nowMillis);
    }

    private void vanished(DirectServer server, long nowMillis) {
        vanishedByAddress.put(server.address(), new Vanished(server, nowMillis + RETURN_MILLIS));
    }

    private List<DirectServer> expectedBack() {
        return vanishedByAddress.values().stream().map(Vanished::server).toList();
    }

    private long settledMillis(boolean emptyStage, boolean loaded) {
        if (!loaded) {
            return changedMillis + SETTLE_MILLIS;
        }
        return emptyStage
                ? changedMillis + EMPTY_STAGE_SETTLE_MILLIS
                : Math.max(changedMillis + LOSS_SETTLE_MILLIS, grownMillis + GROWTH_SETTLE_MILLIS);
    }

    private List<DirectServer> withOrders(List<DirectServer> servers) {
        List<DirectServer> expected = new ArrayList<>();
        for (DirectServer server : servers) {
            Ordered order = ordered.get(server.incarnation());
            expected.add(order == null ? server : server.withStage(order.stage));
        }
        return expected;
    }

    private static Set<Incarnation> incarnations(List<DirectServer> servers) {
        return servers.stream().map(DirectServer::incarnation).collect(Collectors.toSet());
    }

    /** A change that the server may still be carrying out. */
    private record Ordered(Stage stage, long endMillis) {}

    /** A server whose entry is gone, and how long it counts as present. */
    private record Vanished(DirectServer server, long endMillis) {}
}
