package dev.foxtailshed.kernel.manifest;

import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The configuration set by operators, as one immutable value.
 *
 * <p>A {@link ManifestReader} creates it from a document: <code>
 * new ManifestReader().read(bytes).get().deployment("orders")</code>. Thread-safe. The constructor
 * does not validate; the reader does.
 */
public final class Manifest {

    /** Paths with encoded dots, slashes or backslashes could escape their route at the server. */
    private static final Pattern UNSAFE_PATH =
            Pattern.compile("//|\\\\|%2f|%5c|/(\\.|%2e){1,2}(/|;|$)", Pattern.CASE_INSENSITIVE);

    private final String name;
    private final String region;
    private final Map<String, Zone> zones;
    private final Map<String, RequestClass> classes;
    private final Map<String, Pool> pools;
    private final Map<String, BackendServer> servers;
    private final Map<String, List<BackendServer>> serversByPool;
    private final Map<String, Policy> policies;
    private final Map<String, Deployment> deployments;

    /**
     * Creates a manifest.
     *
     * @param name the name of the installation
     * @param region the name of the region
     * @param zones the availability zones
     * @param classes the request classes
     * @param pools the pools
     * @param servers the backend servers
     * @param policies the routing policies
     * @param deployments the deployments
     */
    public Manifest(
            String name,
            String region,
            List<Zone> zones,
            List<RequestClass> classes,
            List<Pool> pools,
            List<BackendServer> servers,
            List<Policy> policies,
            List<Deployment> deployments) {
        this.name = name;
        this.region = region;
        this.zones = byName(zones, Zone::name);
        this.classes = byName(classes, RequestClass::name);
        this.pools = byName(pools, Pool::name);
        this.servers = byName(servers, BackendServer::name);
        this.serversByPool =
                this.servers.values().stream()
                        .collect(
                                Collectors.groupingBy(
                                        BackendServer::pool, Collectors.toUnmodifiableList()));
        this.policies = byName(policies, Policy::name);
        this.deployments = byName(deployments, Deployment::name);
    }

    /**
     * Returns the name of the installation.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the name of the region.
     *
     * @return the name
     */
    public String region() {
        return region;
    }

    /**
     * Returns the availability zones.
     *
     * @return the zones in the order of the document
     */
    public List<Zone> zones() {
        return List.copyOf(zones.values());
    }

    /**
     * Returns the request classes.
     *
     * @return the classes in the order of the document
     */
    public List<RequestClass> classes() {
        return List.copyOf(classes.values());
    }

    /**
     * Returns the pools.
     *
     * @return the pools in the order of the document
     */
    public List<Pool> pools() {
        return List.copyOf(pools.values());
    }

    /**
     * Returns the backend servers.
     *
     * @return the servers in the order of the document
     */
    public List<BackendServer> servers() {
        return List.copyOf(servers.values());
    }

    /**
     * Returns the routing policies.
     *
     * @return the policies in the order of the document
     */
    public List<Policy> policies() {
        return List.copyOf(policies.values());
    }

    /**
     * Returns the deployments.
     *
     * @return the deployments in the order of the document
     */
    public List<Deployment> deployments() {
        return List.copyOf(deployments.values());
    }

    /**
     * Finds an availability zone.
     *
     * @param zoneName the name of the zone
     * @return the zone, if it exists
     */
    public Optional<Zone> zone(String zoneName) {
        return Optional.ofNullable(zones.get(zoneName));
    }

    /**
     * Finds a request class.
     *
     * @param className the name of the class
     * @return the class, if it exists
     */
    public Optional<RequestClass> requestClass(String className) {
        return Optional.ofNullable(classes.get(className));
    }

    /**
     * Finds a pool.
     *
     * @param poolName the name of the pool
     * @return the pool, if it exists
     */
    public Optional<Pool> pool(String poolName) {
        return Optional.ofNullable(pools.get(poolName));
    }

    /**
     * Finds a backend server.
     *
     * @param serverName the name of the server
     * @return the server, if it exists
     */
    public Optional<BackendServer> server(String serverName) {
        return Optional.ofNullable(servers.get(serverName));
    }

    /**
     * Returns the backend servers of a pool.
     *
     * @param poolName the name of the pool
     * @return the servers in the order of the document
     */
    public List<BackendServer> serversOf(String poolName) {
        return serversByPool.getOrDefault(poolName, List.of());
    }

    /**
     * Finds a routing policy.
     *
     * @param policyName the name of the policy
     * @return the policy, if it exists
     */
    public Optional<Policy> policy(String policyName) {
        return Optional.ofNullable(policies.get(policyName));
    }

    /**
     * Finds a deployment.
     *
     * @param deploymentName the name of the deployment
     * @return the deployment, if it exists
     */
    public Optional<Deployment> deployment(String deploymentName) {
        return Optional.ofNullable(deployments.get(deploymentName));
    }

    /**
     * Finds the route of a call to a plain deployment; the longest matching prefix wins.
     *
     * <p>A prefix matches itself and all paths below it. No route matches a path with empty or dot
     * segments or an encoded slash or backslash, because the server might resolve it to another
     * path.
     *
     * @param deploymentName the name of the deployment
     * @param method the HTTP method
     * @param path the path, with or without its query
     * @return the route, if it exists
     */
    public Optional<Route> findRoute(String deploymentName, String method, String path) {
        int queryStart = path.indexOf('?');
        String pathOnly = queryStart < 0 ? path : path.substring(0, queryStart);
        if (UNSAFE_PATH.matcher(pathOnly).find()) {
            return Optional.empty();
        }
        if (!(deployments.get(deploymentName) instanceof Deployment.Plain plain)) {
            return Optional.empty();
        }
        return plain.routes().stream()
                .filter(route -> route.matches(method, pathOnly))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
    }

    private static <T> Map<String, T> byName(List<T> items, Function<T, String> nameOf) {
        Map<String, T> index = new LinkedHashMap<>();
        items.forEach(item -> index.put(nameOf.apply(item), item));
        return Collections.unmodifiableMap(index);
    }
}
