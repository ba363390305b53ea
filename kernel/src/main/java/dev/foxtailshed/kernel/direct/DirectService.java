package dev.foxtailshed.kernel.direct;

import java.util.Optional;

/**
 * A service to which routes send requests.
 *
 * @param name the service's name
 * @param maximumConnections the maximum number of connections to one server, from all entries
 *     together
 * @param healthCheckPath the path of the health checks of its servers
 * @param engine the specification of the service's model servers; empty for plain services
 */
public record DirectService(
        String name,
        int maximumConnections,
        Optional<String> healthCheckPath,
        Optional<EngineSpec> engine) {}
