package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides how many model servers of a service do prefill, and which server changes its stage next.
 *
 * <p>This prevents decode memory from being full while prefill servers are idle, and the reverse.
 * The target share follows from the cost of one request at each stage. A server is unavailable
 * while its stage changes, so small deviations from the target are tolerated.
 */
public final class StageSplitPolicy {

    /** A service with fewer servers cannot be split into two stages. */
    private static final int MINIMUM_SERVERS = 2;

    /**
     * Deviation from the exact target, in servers, up to which the split is kept; avoids flapping.
     */
    private static final double HYSTERESIS_SERVERS = 0.75;

    /**
     * The same under load, as a share of the servers: the estimates of two entries differ by about
     * this much, and changing a server's stage wastes prompts.
     */
    private static final double LOADED_HYSTERESIS_SHARE = 0.06;

    /**
     * Returns the target number of prefill servers.
     *
     * @param servers the number of servers of the service
     * @param prefillShare the share of servers that should do prefill, from 0 to 1
     * @param current the current number of prefill servers
     * @param loaded whether requests are being served
     * @return 0 for fewer than two servers; otherwise at least one and less than all
     */
    public int targetPrefillServers(int servers, double prefillShare, int current, boolean loaded) {
        if (servers < MINIMUM_SERVERS) {
            return 0;
        }
        double exactTarget = prefillShare * servers;
        double loadedBand = loaded ? LOADED_HYSTERESIS_SHARE * servers : 0;
        double band = Math.max(HYSTERESIS_SERVERS, loadedBand);
        boolean withinBand = Math.abs(exactTarget - current) <= band;
        long target = withinBand ? current : Math.round(exactTarget);
        return (int) Math.max(1, Math.min(servers - 1, target));
    }

    /**
     * Chooses the next stage change.
     *
     * @param servers the usable model servers of one service
     * @param expectedToReturn servers that are briefly unavailable: they count, but cannot change
     * @param prefillShare the share of servers that should do prefill
     * @param loaded whether requests are being served
     * @return the change, or empty if the split is on target
     */
    public Optional<Change> nextChange(
            List<DirectServer> servers,
            List<DirectServer> expectedToReturn,
            double prefillShare,
            boolean loaded) {
        int prefill = count(servers, expectedToReturn, Stage.PREFILL);
        int decode = count(servers, expectedToReturn, Stage.DECODE);
        int target = targetPrefillServers(prefill + decode, prefillShare, prefill, loaded);
        if (prefill == target) {
            return Optional.empty();
        }
        Stage from = prefill > target ? Stage.PREFILL : Stage.DECODE;
        Stage to = prefill > target ? Stage.DECODE : Stage.PREFILL;
        return lastById(ofStage(servers, from)).map(server -> new Change(server, to));
    }

    /**
     * A change of one server's stage.
     *
     * @param server the server
     * @param stage the new stage
     */
    public record Change(DirectServer server, Stage stage) {}

    private static int count(
            List<DirectServer> servers, List<DirectServer> expectedToReturn, Stage stage) {
        return ofStage(servers, stage).size() + ofStage(expectedToReturn, stage).size();
    }

    private static List<DirectServer> ofStage(List<DirectServer> servers, Stage stage) {
        return servers.stream().filter(s -> s.stage().equals(Optional.of(stage))).toList();
    }

    private static Optional<DirectServer> lastById(List<DirectServer> servers) {
        return servers.stream().max(Comparator.comparing(DirectServer::id));
    }
}
