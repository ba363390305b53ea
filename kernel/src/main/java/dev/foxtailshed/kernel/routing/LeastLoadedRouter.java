package dev.foxtailshed.kernel.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Chooses the server with the shortest expected wait; ties go to the one with the most free
 * capacity.
 *
 * <p>The expected wait is the sum of the queued work, the prefill of the prompt tokens that are not
 * cached, the transfer at the recently observed speed of the link, and a fixed penalty for another
 * availability zone. A server whose queue or link backlog exceeds the maximum wait counts as full.
 *
 * <p>Immutable and thread-safe.
 */
public final class LeastLoadedRouter implements Router {

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Uncached tokens count twice, because their prefill also evicts prefixes of other prompts. */
    private static final long PREFILL_WEIGHT = 2;

    private final long tokensPerSecond;
    private final long linkBytesPerSecond;
    private final long otherZonePenaltyMillis;
    private final long maximumWaitMillis;

    /**
     * Creates the router.
     *
     * @param tokensPerSecond the prefill speed of a server in prompt tokens per second
     * @param linkBytesPerSecond the rate of a server's transfer link
     * @param otherZonePenaltyMillis the penalty for a server in another availability zone
     * @param maximumWaitMillis the queueing time beyond which a server counts as full
     */
    public LeastLoadedRouter(
            long tokensPerSecond,
            long linkBytesPerSecond,
            long otherZonePenaltyMillis,
            long maximumWaitMillis) {
        this.tokensPerSecond = Math.max(1, tokensPerSecond);
        this.linkBytesPerSecond = Math.max(1, linkBytesPerSecond);
        this.otherZonePenaltyMillis = otherZonePenaltyMillis;
        this.maximumWaitMillis = maximumWaitMillis;
    }

    @Override
    public Optional<ServerView> choose(List<ServerView> servers, Demand demand) {
        Objects.requireNonNull(demand, "demand");
        return servers.stream()
                .filter(server -> hasCapacity(server, demand))
                .min(
                        Comparator.comparingLong((ServerView server) -> waitMillis(server, demand))
                                .thenComparing(
                                        Comparator.comparingInt(ServerView::freeSlots).reversed())
                                .thenComparing(
                                        Comparator.comparingInt(ServerView::freePieces)
                                                .reversed()));
    }

    private boolean hasCapacity(ServerView server, Demand demand) {
        return server.available()
                && server.freeSlots() > 0
                && server.freePieces() >= demand.pieces()
                && queueMillis(server) <= maximumWaitMillis + savedMillis(server, demand)
                && !demand.excluded().contains(server.name());
    }

    private long waitMillis(ServerView server, Demand demand) {
        long zoneMillis = server.zone().equals(demand.zone()) ? 0 : otherZonePenaltyMillis;
        long prefillMillis =
                PREFILL_WEIGHT
                        * demand.uncachedPromptTokens(server.name())
                        * MILLIS_PER_SECOND
                        / tokensPerSecond;
        long transferMillis = linkMillis(server, demand.transferBytes());
        return queueMillis(server) + prefillMillis + transferMillis + zoneMillis;
    }

    private long queueMillis(ServerView server) {
        long prefillMillis = server.queuedTokens() * MILLIS_PER_SECOND / tokensPerSecond;
        return prefillMillis + linkMillis(server, server.linkBacklogBytes());
    }

    /** A queue may be longer by the time that a cached prefix of the prompt saves. */
    private long savedMillis(ServerView server, Demand demand) {
        long cachedTokens = demand.promptTokens() - demand.uncachedPromptTokens(server.name());
        return cachedTokens * MILLIS_PER_SECOND / tokensPerSecond;
    }

    private long linkMillis(ServerView server, long bytes) {
        return (long) (server.linkSlowdown() * bytes * MILLIS_PER_SECOND / linkBytesPerSecond);
    }
}
