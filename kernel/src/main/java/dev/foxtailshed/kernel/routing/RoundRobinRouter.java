package dev.foxtailshed.kernel.routing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chooses the servers in turn, regardless of their load; the baseline for comparisons.
 *
 * <p>Thread-safe. All requests to a pool must share one router.
 */
public final class RoundRobinRouter implements Router {

    private final AtomicInteger next = new AtomicInteger();

    @Override
    public Optional<ServerView> choose(List<ServerView> servers, Demand demand) {
        Objects.requireNonNull(demand, "demand");
        List<ServerView> usable =
                servers.stream()
                        .filter(ServerView::available)
                        .filter(server -> !demand.excluded().contains(server.name()))
                        .toList();
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(usable.get(Math.floorMod(next.getAndIncrement(), usable.size())));
    }
}
