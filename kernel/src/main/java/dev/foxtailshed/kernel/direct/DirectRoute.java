package dev.foxtailshed.kernel.direct;

import static java.math.BigDecimal.ZERO;

import java.math.BigDecimal;
import java.util.List;
import java.util.Optional;

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
        BigDecimal priority,
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
        for (WeightedService service : services) {
            if (service.weight().signum() < 0) {
                throw new IllegalArgumentException(
                        "route " + name + ": expected no negative weight, found " + service);
            }
        }
    }

    /**
     * A service and its share of a route's requests.
     *
     * @param service the service's name
     * @param weight the weight, relative to the route's other services; 0 for no requests
     */
    public record WeightedService(String service, BigDecimal weight) {}

    /**
     * Picks a service at random by weight.
     *
     * @param random a random number in [0, 1)
     * @return the service's name, empty if all weights are 0
     */
    public Optional<String> pickService(double random) {
        if (services.size() == 1 && services.get(0).weight().signum() > 0) {
            return Optional.of(services.get(0).service());
        }
        BigDecimal total =
                services.stream().map(WeightedService::weight).reduce(ZERO, BigDecimal::add);
        BigDecimal remaining = total.multiply(BigDecimal.valueOf(random));
        Optional<String> picked = Optional.empty();
        for (WeightedService weighted : services) {
            if (weighted.weight().signum() > 0 && remaining.signum() >= 0) {
                picked = Optional.of(weighted.service());
            }
            remaining = remaining.subtract(weighted.weight());
        }
        return picked;
    }
}
