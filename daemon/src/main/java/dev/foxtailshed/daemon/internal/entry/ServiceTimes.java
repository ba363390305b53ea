package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.admission.ServiceTimeEstimator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What was learned of the times to first tokens, for each set of pools. Thread-safe. */
final class ServiceTimes {

    private static final int MAXIMUM_LANES = 1_000;

    private final Map<String, ServiceTimeEstimator> byLane = new ConcurrentHashMap<>();

    ServiceTimeEstimator of(String lane) {
        if (byLane.size() >= MAXIMUM_LANES) {
            // Names come from manifests, which change; what is relearned costs little.
            byLane.clear();
        }
        return byLane.computeIfAbsent(lane, name -> new ServiceTimeEstimator());
    }
}
