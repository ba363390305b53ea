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
 * <p>It corrects a split of the servers over the stages that does not fit the load. A server that
 * vanished without announcing it may return within seconds, so it counts as present for a while;
 * one that announced its departure does not. Under load only one server changes at a time, since it
 * serves nothing meanwhile. Not thread-safe.
 */
public final class StagePlanner {

    /** How long the list of servers must be unchanged before a stage change without load. */
    private static final long SETTLE_MILLIS = 2_000;

    /**
     * The same under load after losses; short, so that a draining server is replaced before it is
     * removed.
     */
    private static final long LOSS_SETTLE_MILLIS = 1_000;

    /** The same under load after servers joined, since others may follow. */
    private static final long GROWTH_SETTLE_MILLIS = 8_000;

    /** The same if a stage has no server at all, since every request is affected. */
    private static final long EMPTY_STAGE_SETTLE_MILLIS = 3_000;

    /**
     * How long a change is not reversed under load unless servers leave: the estimates of two
     * entries differ, and each change takes a server out of service for seconds.
     */
    private static final long REVERSAL_SETTLE_MILLIS = 20_000;

    /** How long a vanished server counts as present: longer than a crashed one takes to return. */
    private static final long VANISHED_GRACE_MILLIS = 8_000;

    /** How long after its switch time a server may take to report its new stage. */
    private static final long REPORT_GRACE_MILLIS = 3_000;

    private final StageSplitPolicy splitPolicy = new StageSplitPolicy();
    private final Map<Incarnation, PendingChange> pendingChanges = new HashMap<>();
    private final Map<String, Vanished> vanishedByAddress = new HashMap<>();
    private List<DirectServer> lastSeen = List.of();
    private long changedMillis;
    private long lastGrowthMillis;
    private long lastLossMillis;
    private Optional<RecordedChange> lastChange = Optional.empty();

    /**
     * Decides on the next stage change.
     *
     * @param servers the usable servers of the service
     * @param draining servers of the service that announced their departure
     * @param prefillShare the share of servers that should do prefill
     * @param loaded whether requests are being served
     * @param nowMillis the current time
     * @return the change to make now, or empty
     */
    public Optional<StageSplitPolicy.Change> decide(
            List<DirectServer> servers,
            List<DirectServer> draining,
            double prefillShare,
            boolean loaded,
            long nowMillis) {
        pendingChanges.values().removeIf(pending -> pending.endMillis <= nowMillis);
        List<DirectServer> expected = withPendingChanges(servers);
        trackChanges(expected, draining, nowMillis);
        boolean emptyStage = expected.stream().map(DirectServer::stage).distinct().count() < 2;
        Optional<StageSplitPolicy.Change> change =
                splitPolicy.nextChange(
                        expected,
                        emptyStage ? List.of() : expectedToReturn(),
                        prefillShare,
                        loaded);
        boolean settled = nowMillis >= settledMillis(emptyStage, loaded);
        boolean switching = loaded && !pendingChanges.isEmpty();
        return settled && !switching
                ? change.filter(next -> emptyStage || !loaded || !isReversal(next, nowMillis))
                : Optional.empty();
    }

    private boolean isReversal(StageSplitPolicy.Change change, long nowMillis) {
        return lastChange
                .filter(last -> last.stage != change.stage())
                .filter(last -> last.millis >= lastLossMillis)
                .filter(last -> nowMillis < last.millis + REVERSAL_SETTLE_MILLIS)
                .isPresent();
    }

    /**
     * Records that a server was or will be commanded to change its stage, by this entry or by
     * another one.
     *
     * @param change the change
     * @param switchMillis how long the server is unavailable
     * @param nowMillis the current time
     */
    public void recordStageChange(
            StageSplitPolicy.Change change, long switchMillis, long nowMillis) {
        pendingChanges.put(
                change.server().incarnation(),
                new PendingChange(change.stage(), nowMillis + switchMillis + REPORT_GRACE_MILLIS));
        lastChange = Optional.of(new RecordedChange(change.stage(), nowMillis));
        // The expected list now matches the plan, so the commanded stage change does not restart
        // the settling time.
        lastSeen = withPendingChanges(lastSeen);
    }

    private void trackChanges(
            List<DirectServer> current, List<DirectServer> draining, long nowMillis) {
        if (!current.equals(lastSeen)) {
            Set<Incarnation> before = incarnations(lastSeen);
            Set<Incarnation> present = incarnations(current);
            Set<Incarnation> announced = incarnations(draining);
            lastSeen.stream()
                    .filter(server -> !present.contains(server.incarnation()))
                    .filter(server -> !announced.contains(server.incarnation()))
                    .forEach(server -> markVanished(server, nowMillis));
            boolean grown =
                    current.stream()
                            .filter(server -> !before.contains(server.incarnation()))
                            .anyMatch(server -> !vanishedByAddress.containsKey(server.address()));
            lastLossMillis = present.containsAll(before) ? lastLossMillis : nowMillis;
            lastGrowthMillis = grown ? nowMillis : lastGrowthMillis;
            changedMillis = nowMillis;
            lastSeen = current;
        }
        current.forEach(server -> vanishedByAddress.remove(server.address()));
        vanishedByAddress.values().removeIf(vanished -> vanished.endMillis <= nowMillis);
    }

    private void markVanished(DirectServer server, long nowMillis) {
        vanishedByAddress.put(
                server.address(), new Vanished(server, nowMillis + VANISHED_GRACE_MILLIS));
    }

    private List<DirectServer> expectedToReturn() {
        return vanishedByAddress.values().stream().map(Vanished::server).toList();
    }

    private long settledMillis(boolean emptyStage, boolean loaded) {
        if (!loaded) {
            return changedMillis + SETTLE_MILLIS;
        }
        return emptyStage
                ? changedMillis + EMPTY_STAGE_SETTLE_MILLIS
                : Math.max(
                        changedMillis + LOSS_SETTLE_MILLIS,
                        lastGrowthMillis + GROWTH_SETTLE_MILLIS);
    }

    private List<DirectServer> withPendingChanges(List<DirectServer> servers) {
        List<DirectServer> expected = new ArrayList<>();
        for (DirectServer server : servers) {
            PendingChange pending = pendingChanges.get(server.incarnation());
            expected.add(pending == null ? server : server.withStage(pending.stage));
        }
        return expected;
    }

    private static Set<Incarnation> incarnations(List<DirectServer> servers) {
        return servers.stream().map(DirectServer::incarnation).collect(Collectors.toSet());
    }

    /** The stage that the last change leads to, and the time of its command. */
    private record RecordedChange(Stage stage, long millis) {}

    /** A change that the server may still be carrying out. */
    private record PendingChange(Stage stage, long endMillis) {}

    /** A server whose entry disappeared, and the time until which it counts as present. */
    private record Vanished(DirectServer server, long endMillis) {}
}
