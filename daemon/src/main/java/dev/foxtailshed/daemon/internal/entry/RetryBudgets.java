package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.retry.RetryBudget;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Holds one retry budget for each deployment. Thread-safe. */
final class RetryBudgets {

    private static final int MAXIMUM_DEPLOYMENTS = 1_000;

    private final Map<String, RetryBudget> byDeployment = new ConcurrentHashMap<>();

    RetryBudget forDeployment(String deployment) {
        if (byDeployment.size() >= MAXIMUM_DEPLOYMENTS) {
            // Deployment names change with the manifests; resetting all budgets does little harm.
            byDeployment.clear();
        }
        return byDeployment.computeIfAbsent(deployment, name -> new RetryBudget());
    }
}
