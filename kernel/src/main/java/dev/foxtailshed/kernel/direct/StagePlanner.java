package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Decides when a model server of a service changes its stage.
 *
 * <p>Answers a service whose servers stand in the wrong stages: the plan must want the change for a
 * while, since servers register one after the other and crashed ones come back. Under load one
 * server changes at a time, since it serves nothing meanwhile. Not thread-safe.
 */
public final class StagePlanner {

    /** How long a list of servers must be unchanged before it is acted on without load. */
    private static final long SETTLE_MILLIS = 2_000;

    /** How long a change must be wanted under load: longer than a crashed server is away. */
    private static final long LOADED_SETTLE_MILLIS = 8_000;

    /**
     * The same after servers announced that they leave: they do not come back, and a replacement
     * starts before.
     */
    private static final long ANNOUNCED_SETTLE_MILLIS = 1_000;

    /** The same where a stage has no server at all, since every request suffers. */
    private static final long EMPTY_STAGE_SETTLE_MILLIS = 3_000;

    /** How long after its switch time a server may take to report its new stage. */
    private static final long REPORT_MILLIS = 3_000;

    private final StagePlan plan = new StagePlan();
    private final Map<Incarnation, Ordered> ordered = new HashMap<>();
    private List<DirectServer> lastSeen = List.of();
    private long unchangedSinceMillis;
    private boolean announced;

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
    public Optional<StagePlan.Change> decide(
            List<DirectServer> servers,
            List<DirectServer> leaving,
            double prefillShare,
            boolean loaded,
            long nowMillis) {
        ordered.values().removeIf(order -> order.endMillis <= nowMillis);
        List<DirectServer> expected = withOrders(servers);
        if (!expected.equals(lastSeen)) {
            announced = onlyAnnouncedLosses(lastSeen, expected, leaving);
            lastSeen = expected;
            unchangedSinceMillis = nowMillis;
        }
        Optional<StagePlan.Change> change = plan.next(expected, prefillShare);
        boolean settled = nowMillis - unchangedSinceMillis >= settleMillis(expected, loaded);
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
    public void ordered(StagePlan.Change change, long switchMillis, long nowMillis) {
        ordered.put(
                change.server().incarnation(),
                new Ordered(change.stage(), nowMillis + switchMillis + REPORT_MILLIS));
        // The list that is expected now is the one that the plan wanted.
        lastSeen = withOrders(lastSeen);
    }

    private List<DirectServer> withOrders(List<DirectServer> servers) {
        List<DirectServer> expected = new ArrayList<>();
        for (DirectServer server : servers) {
            Ordered order = ordered.get(server.incarnation());
            expected.add(order == null ? server : server.withStage(order.stage));
        }
        return expected;
    }

    private static boolean onlyAnnouncedLosses(
            List<DirectServer> before, List<DirectServer> now, List<DirectServer> leaving) {
        List<Incarnation> lost = incarnations(before);
        lost.removeAll(incarnations(now));
        boolean nothingNew = incarnations(before).containsAll(incarnations(now));
        return nothingNew && !lost.isEmpty() && incarnations(leaving).containsAll(lost);
    }

    private static List<Incarnation> incarnations(List<DirectServer> servers) {
        return servers.stream()
                .map(DirectServer::incarnation)
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private long settleMillis(List<DirectServer> servers, boolean loaded) {
        if (announced) {
            return ANNOUNCED_SETTLE_MILLIS;
        }
        if (!loaded) {
            return SETTLE_MILLIS;
        }
        long stages = servers.stream().map(DirectServer::stage).distinct().count();
        return stages < 2 ? EMPTY_STAGE_SETTLE_MILLIS : LOADED_SETTLE_MILLIS;
    }

    /** A change that the server may still be carrying out. */
    private record Ordered(Stage stage, long endMillis) {}
}
