package dev.foxtailshed.kernel.direct;

import java.util.Optional;

/**
 * A service to which routes send requests.
 *
 * @param name the service's name
 * @param maximumConnections the maximum number of connections to one server, from all entries
 *     together
 * @param engine the specification of the service's model servers; empty for plain services
 */
public record DirectService(String name, int maximumConnections, Optional<EngineSpec> engine) {}
