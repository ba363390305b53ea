package dev.foxtailshed.kernel.direct.workspace;

import java.math.BigDecimal;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Maps the priorities of a workspace and a route to one rank of urgency. Immutable.
 *
 * <p>The workspace's priority goes before the route's. The ranks are dense, so that the few ranks
 * that servers distinguish suffice for any priorities that operators choose.
 */
public final class UrgencyRanks {

    private static final Comparator<Urgency> ORDER =
            Comparator.comparing(Urgency::workspacePriority).thenComparing(Urgency::routePriority);

    private final List<Urgency> ordered;

    private record Urgency(BigDecimal workspacePriority, BigDecimal routePriority) {}

    /**
     * Creates the ranks of a configuration.
     *
     * @param workspaces the workspaces
     * @param routePriorities the priorities of the routes
     */
    public UrgencyRanks(Collection<Workspace> workspaces, Collection<BigDecimal> routePriorities) {
        ordered =
                routePriorities.stream()
                        .distinct()
                        .flatMap(
                                route ->
                                        workspaces.stream()
                                                .map(
                                                        workspace ->
                                                                urgency(
                                                                        workspace.priority(),
                                                                        route)))
                        .distinct()
                        .sorted(ORDER)
                        .toList();
    }

    /**
     * Returns the rank of a request.
     *
     * @param workspacePriority the priority of its workspace, empty for the one of the route
     * @param routePriority the priority of its route
     * @return the rank; 0 is the most urgent
     */
    public int rank(Optional<BigDecimal> workspacePriority, BigDecimal routePriority) {
        Urgency urgency = urgency(workspacePriority, routePriority);
        return (int) ordered.stream().filter(other -> ORDER.compare(other, urgency) < 0).count();
    }

    /**
     * Returns whether requests of a rank go before others of the configuration.
     *
     * @param rank the rank
     * @return false for the least urgent rank, also if it is the only one
     */
    public boolean isUrgent(int rank) {
        return rank < ordered.size() - 1;
    }

    private static Urgency urgency(
            Optional<BigDecimal> workspacePriority, BigDecimal routePriority) {
        return new Urgency(workspacePriority.orElse(routePriority), routePriority);
    }
}
