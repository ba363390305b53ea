package dev.foxtailshed.kernel.direct;

import java.util.List;

/**
 * A route: the host and path prefix that it matches, the services behind it, and its limits.
 *
 * @param name the route's name
 * @param host the host in lower case, without a port
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param repeatability whether requests may run more than once, and whether they are streams
 * @param timeoutMillis the maximum time until the final answer
 * @param targetLatencyMillis the latency objective, measured to the first event for streams
 * @param targetGapMillis the maximum gap between events of a stream; 0 if none is declared
 * @param priority the priority; 0 is the most urgent
 * @param services the services that may run the request, with their weights
 * @param maximumServers the maximum number of servers to which one request may be sent
 * @param modelTraffic whether requests carry prompts for a language model
 * @param isPublic whether callers need no key
 */
public record DirectRoute(
        String name,
        String host,
        String pathPrefix,
        Repeatability repeatability,
        long timeoutMillis,
        long targetLatencyMillis,
        long targetGapMillis,
        int priority,
        List<WeightedService> services,
        int maximumServers,
        boolean modelTraffic,
        boolean isPublic) {

    /** Copies the list of services and rejects an empty one. */
    public DirectRoute {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + ": expected at least one service");
        }
    }

    /**
     * A service and its share of a route's requests.
     *
     * @param service the service's name
     * @param weight the weight, relative to the route's other services
     */
    public record WeightedService(String service, int weight) {}

    /**
     * Picks a service at random by weight.
     *
     * @param random a random number in [0, 1)
     * @return the service's name
     */
    public String pickService(double random) {
        long total = services.stream().mapToLong(WeightedService::weight).sum();
        double remaining = random * total;
        for (WeightedService weighted : services) {
            remaining -= weighted.weight();
            if (remaining < 0) {
                return weighted.service();
            }
        }
        return services.get(0).service();
    }
}
