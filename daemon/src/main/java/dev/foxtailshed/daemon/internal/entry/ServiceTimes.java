package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.admission.ServiceTimeEstimator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Holds one predictor of the time to the first token for each lane, that is, each set of pools.
 * Thread-safe.
 */
final class ServiceTimes {

    private static final int MAXIMUM_LANES = 1_000;

    private final Map<String, ServiceTimeEstimator> byLane = new ConcurrentHashMap<>();

    ServiceTimeEstimator forLane(String lane) {
        if (byLane.size() >= MAXIMUM_LANES) {
            // Lane names change with the manifests; the estimates are soon rebuilt.
            byLane.clear();
        }
        return byLane.computeIfAbsent(lane, name -> new ServiceTimeEstimator());
    }
}
