package dev.foxtailshed.kernel.direct;

import java.util.Optional;

/**
 * A service to which routes lead.
 *
 * @param name the service's name
 * @param maximumConnections how many connections one server takes from all entries together
 * @param engine the terms of its model servers, absent for plain services
 */
public record DirectService(String name, int maximumConnections, Optional<EngineSpec> engine) {}
