package dev.foxtailshed.kernel.direct.tenant;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;

/**
 * Maps the priorities of a tenant and a route to one rank of urgency. Immutable.
 *
 * <p>The tenant's priority goes before the route's. The ranks are dense, so that the few ranks that
 * servers distinguish suffice for any priorities that operators choose.
 */
public final class UrgencyRanks {

    private static final Comparator<Urgency> ORDER =
            Comparator.comparingInt(Urgency::tenantPriority)
                    .thenComparingInt(Urgency::routePriority);

    private final List<Urgency> ordered;

    private record Urgency(int tenantPriority, int routePriority) {}

    /**
     * Creates the ranks of a configuration.
     *
     * @param tenants the tenants
     * @param routePriorities the priorities of the routes
     */
    public UrgencyRanks(Collection<Tenant> tenants, Collection<Integer> routePriorities) {
        ordered =
                routePriorities.stream()
                        .distinct()
                        .flatMap(
                                route ->
                                        tenants.stream()
                                                .map(tenant -> urgency(tenant.priority(), route)))
                        .distinct()
                        .sorted(ORDER)
                        .toList();
    }

    /**
     * Returns the rank of a request.
     *
     * @param tenantPriority the priority of its tenant, empty for the one of the route
     * @param routePriority the priority of its route
     * @return the rank; 0 is the most urgent
     */
    public int rank(OptionalInt tenantPriority, int routePriority) {
        Urgency urgency = urgency(tenantPriority, routePriority);
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

    private static Urgency urgency(OptionalInt tenantPriority, int routePriority) {
        return new Urgency(tenantPriority.orElse(routePriority), routePriority);
    }
}
