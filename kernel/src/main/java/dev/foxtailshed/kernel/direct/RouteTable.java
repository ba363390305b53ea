package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.workspace.UrgencyRanks;
import dev.foxtailshed.kernel.direct.workspace.WorkspaceTable;
import java.math.BigDecimal;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * One version of the routing configuration.
 *
 * <p>Immutable. A request uses the same table from its arrival to its end.
 */
public final class RouteTable {

    private final BigDecimal version;
    private final List<DirectRoute> routes;
    private final Map<String, DirectService> services;
    private final CallerLimits limits;
    private final Optional<WorkspaceTable> workspaces;
    private final Optional<UrgencyRanks> urgencyRanks;
    private final List<BigDecimal> priorities;
    private final UnusableParts unusable;

    /** The routes by host and path prefix; empty for those that cannot be used. */
    private final Map<String, Map<String, Optional<DirectRoute>>> byHostAndPrefix = new HashMap<>();

    /**
     * Creates a table.
     *
     * @param version the version, which increases with each change
     * @param routes the routes
     * @param services the services by name
     * @param limits the limits on callers
     * @param workspaces the workspaces; empty if callers need no keys
     * @param unusable what of the configuration cannot be used
     */
    public RouteTable(
            BigDecimal version,
            List<DirectRoute> routes,
            Map<String, DirectService> services,
            CallerLimits limits,
            Optional<WorkspaceTable> workspaces,
            UnusableParts unusable) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.services = Map.copyOf(services);
        this.limits = limits;
        this.workspaces = workspaces;
        this.unusable = unusable;
        this.urgencyRanks =
                workspaces.map(
                        table ->
                                new UrgencyRanks(
                                        table.byName().values(),
                                        routes.stream().map(DirectRoute::priority).toList()));
        this.priorities =
                Stream.concat(
                                Stream.of(BigDecimal.ZERO),
                                routes.stream().map(DirectRoute::priority))
                        .distinct()
                        .sorted()
                        .toList();
        routes.forEach(route -> put(route.host(), route.pathPrefix(), Optional.of(route)));
        unusable.routes().forEach(place -> put(place.host(), place.pathPrefix(), Optional.empty()));
    }

    private void put(String host, String pathPrefix, Optional<DirectRoute> route) {
        byHostAndPrefix
                .computeIfAbsent(host, key -> new HashMap<>())
                .put(UrlPath.normalize(pathPrefix), route);
    }

    /**
     * Returns the route with the longest matching path prefix.
     *
     * @param host the request's host, with or without a port
     * @param path the request's path as sent, without the query
     * @return the route, or empty if none matches or the one that matches cannot be used
     */
    public Optional<DirectRoute> match(String host, String path) {
        return find(host, path).flatMap(route -> route);
    }

    /**
     * Returns whether a request without a usable route may be for one that cannot be used.
     *
     * @param host the request's host, with or without a port
     * @param path the request's path as sent, without the query
     * @return false if no route matches and all routes could be read
     */
    public boolean isUnusable(String host, String path) {
        return find(host, path).map(Optional::isEmpty).orElse(unusable.hasRouteWithoutPlace());
    }

    private Optional<Optional<DirectRoute>> find(String host, String path) {
        Map<String, Optional<DirectRoute>> byPrefix = byHostAndPrefix.get(normalize(host));
        if (byPrefix == null) {
            return Optional.empty();
        }
        String normal = UrlPath.normalize(path);
        for (int end = normal.lastIndexOf('/'); end >= 0; end = normal.lastIndexOf('/', end - 1)) {
            Optional<DirectRoute> route = byPrefix.get(normal.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the version.
     *
     * @return a number that increases with each change of the configuration
     */
    public BigDecimal version() {
        return version;
    }

    /**
     * Returns the routes.
     *
     * @return all routes, in an immutable list
     */
    public List<DirectRoute> routes() {
        return routes;
    }

    /**
     * Returns the service with the given name.
     *
     * @param name the service's name
     * @return the service, or empty if the table has none of this name
     */
    public Optional<DirectService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns whether a service has no usable description, though the configuration has, or may
     * have, one.
     *
     * @param name the service's name
     * @return false for services that can be used and for those that it does not describe
     */
    public boolean isServiceUnusable(String name) {
        return !services.containsKey(name) && unusable.hasService(name);
    }

    /**
     * Returns what of the configuration cannot be used.
     *
     * @return the parts, without those of the workspaces
     */
    public UnusableParts unusable() {
        return unusable;
    }

    /**
     * Returns the services.
     *
     * @return the services by name, in an immutable map
     */
    public Map<String, DirectService> services() {
        return services;
    }

    /**
     * Returns the limits on callers.
     *
     * @return the limits that apply to all callers
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the workspaces.
     *
     * @return the workspaces and their keys, or empty if callers need no keys
     */
    public Optional<WorkspaceTable> workspaces() {
        return workspaces;
    }

    /**
     * Returns the rank of a route's priority among those of all routes.
     *
     * @param route a route of this table
     * @return the rank; 0 only for routes of priority 0, the most urgent
     */
    public int priorityRank(DirectRoute route) {
        return priorities.indexOf(route.priority());
    }

    /**
     * Returns the ranks of urgency among the workspaces and routes.
     *
     * @return the ranks, or empty if the configuration has no workspaces
     */
    public Optional<UrgencyRanks> urgencyRanks() {
        return urgencyRanks;
    }

    private static String normalize(String host) {
        int colon = host.lastIndexOf(':');
        boolean hasPort = colon > host.lastIndexOf(']');
        return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }
}
