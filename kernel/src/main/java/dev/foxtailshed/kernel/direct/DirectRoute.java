package dev.foxtailshed.kernel.direct;

import java.util.List;

/**
 * Where requests of one host and path prefix go, and under which terms.
 *
 * @param name the route's name
 * @param host the host in lower case, without a port
 * @param pathPrefix the prefix, which begins and ends with a slash
 * @param repeatability what may be repeated
 * @param timeoutMillis the longest time until the final answer
 * @param targetLatencyMillis the latency objective, measured to the first event for streams
 * @param targetGapMillis the longest pause between events of a stream, 0 if none is declared
 * @param priority the rank, 0 is the most urgent
 * @param services the services that may run the request, with their weights
 * @param maximumServers to how many servers one request may be sent
 * @param modelTraffic whether requests carry prompts for a language model
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
        boolean modelTraffic) {

    /** Copies the list. */
    public DirectRoute {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + ": expected at least one service");
        }
    }

    /**
     * A service with its share of a route's requests.
     *
     * @param service the service's name
     * @param weight its weight, relative to the others of the route
     */
    public record WeightedService(String service, int weight) {}

    /**
     * Picks a service by weight.
     *
     * @param random a number from 0 up to but not including 1
     * @return the service's name
     */
    public String pickService(double random) {
        long total = services.stream().mapToLong(WeightedService::weight).sum();
        double left = random * total;
        for (WeightedService weighted : services) {
            left -= weighted.weight();
            if (left < 0) {
                return weighted.service();
            }
        }
        return services.get(0).service();
    }
}
