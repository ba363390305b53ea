package dev.foxtailshed.kernel.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Chooses the server that would be done first, then the one with the most room.
 *
 * <p>It adds up the work that waits, the part of the prompt that the server is not believed to have
 * cached, the transfer over its link as slow as the link was of late, and a fixed amount for
 * another zone. A server whose queue or link would keep a request too long counts as full.
 *
 * <p>Immutable and thread-safe.
 */
public final class LeastLoadedRouter implements Router {

    private static final long MILLIS_PER_SECOND = 1_000;

    /** What is read also displaces cached prefixes that others will need. */
    private static final long READING_WEIGHT = 2;

    private final long tokensPerSecond;
    private final long linkBytesPerSecond;
    private final long otherZonePenaltyMillis;
    private final long maximumWaitMillis;

    /**
     * Creates the router.
     *
     * @param tokensPerSecond prompt tokens that a server reads in a second
     * @param linkBytesPerSecond the rate of a server's transfer link
     * @param otherZonePenaltyMillis the wait that another zone is worth
     * @param maximumWaitMillis the wait beyond which a server counts as full
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
                .filter(server -> hasRoom(server, demand))
                .min(
                        Comparator.comparingLong((ServerView server) -> waitMillis(server, demand))
                                .thenComparing(
                                        Comparator.comparingInt(ServerView::freeSlots).reversed())
                                .thenComparing(
                                        Comparator.comparingInt(ServerView::freePieces)
                                                .reversed()));
    }

    private boolean hasRoom(ServerView server, Demand demand) {
        return server.available()
                && server.freeSlots() > 0
                && server.freePieces() >= demand.pieces()
                && queueMillis(server) <= maximumWaitMillis + savedMillis(server, demand)
                && !demand.excluded().contains(server.name());
    }

    private long waitMillis(ServerView server, Demand demand) {
        long zoneMillis = server.zone().equals(demand.zone()) ? 0 : otherZonePenaltyMillis;
        long readMillis =
                READING_WEIGHT
                        * demand.uncachedPromptTokens(server.name())
                        * MILLIS_PER_SECOND
                        / tokensPerSecond;
        long transferMillis = linkMillis(server, demand.transferBytes());
        return queueMillis(server) + readMillis + transferMillis + zoneMillis;
    }

    private long queueMillis(ServerView server) {
        long readMillis = server.queuedTokens() * MILLIS_PER_SECOND / tokensPerSecond;
        return readMillis + linkMillis(server, server.linkBacklogBytes());
    }

    /** A server that has read the beginning before is worth waiting for as long as it saves. */
    private long savedMillis(ServerView server, Demand demand) {
        long cachedTokens = demand.promptTokens() - demand.uncachedPromptTokens(server.name());
        return cachedTokens * MILLIS_PER_SECOND / tokensPerSecond;
    }

    private long linkMillis(ServerView server, long bytes) {
        return (long) (server.linkSlowdown() * bytes * MILLIS_PER_SECOND / linkBytesPerSecond);
    }
}
