package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides how many model servers of a service read prompts, and which one changes next.
 *
 * <p>Answers a pool whose decode memory is full while prefill servers idle, or the reverse. The
 * wanted share follows from what one request costs at either stage; a change costs a server for its
 * switch time, so only a distance of a whole server is acted on.
 */
public final class StageSplitPolicy {

    /** Below this a service has no room for two stages. */
    private static final int LEAST_SERVERS = 2;

    /** Distance from the exact wish below which the split stays as it is; avoids flapping. */
    private static final double HYSTERESIS_SERVERS = 0.75;

    /**
     * The same under load, as a share of the servers: the estimates of two entries differ by about
     * as much, and a server that changes costs prompts.
     */
    private static final double LOADED_HYSTERESIS_SHARE = 0.06;

    /**
     * Returns the wanted number of prefill servers.
     *
     * @param servers how many servers the service has
     * @param prefillShare the share of servers that should read prompts, from 0 to 1
     * @param current how many do so now
     * @param loaded whether requests are being served
     * @return at least one, and less than all, where there are two or more
     */
    public int wantedPrefill(int servers, double prefillShare, int current, boolean loaded) {
        if (servers < LEAST_SERVERS) {
            return 0;
        }
        double exact = prefillShare * servers;
        double loadedBand = loaded ? LOADED_HYSTERESIS_SHARE * servers : 0;
        double band = Math.max(HYSTERESIS_SERVERS, loadedBand);
        boolean near = Math.abs(exact - current) <= band;
        long wanted = near ? current : Math.round(exact);
        return (int) Math.max(1, Math.min(servers - 1, wanted));
    }

    /**
     * Chooses the next change.
     *
     * @param servers the usable model servers of one service
     * @param expectedBack servers that are away for a moment: they count, but cannot change
     * @param prefillShare the share of servers that should read prompts
     * @param loaded whether requests are being served
     * @return the change, or nothing if the split is as wanted
     */
    public Optional<Change> next(
            List<DirectServer> servers,
            List<DirectServer> expectedBack,
            double prefillShare,
            boolean loaded) {
        int prefill = count(servers, expectedBack, Stage.PREFILL);
        int decode = count(servers, expectedBack, Stage.DECODE);
        int wanted = wantedPrefill(prefill + decode, prefillShare, prefill, loaded);
        if (prefill == wanted) {
            return Optional.empty();
        }
        Stage from = prefill > wanted ? Stage.PREFILL : Stage.DECODE;
        Stage to = prefill > wanted ? Stage.DECODE : Stage.PREFILL;
        return pick(ofStage(servers, from)).map(server -> new Change(server, to));
    }

    /**
     * A change of one server's stage.
     *
     * @param server the server
     * @param stage its new stage
     */
    public record Change(DirectServer server, Stage stage) {}

    private static int count(
            List<DirectServer> servers, List<DirectServer> expectedBack, Stage stage) {
        return ofStage(servers, stage).size() + ofStage(expectedBack, stage).size();
    }

    private static List<DirectServer> ofStage(List<DirectServer> servers, Stage stage) {
        return servers.stream().filter(s -> s.stage().equals(Optional.of(stage))).toList();
    }

    private static Optional<DirectServer> pick(List<DirectServer> servers) {
        return servers.stream().max(Comparator.comparing(DirectServer::id));
    }
}
