package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.admission.TokenEstimator;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Holds one estimator of prompt tokens for each deployment. Thread-safe. */
final class TokenEstimators {

    private static final int MAXIMUM_DEPLOYMENTS = 1_000;

    private final Map<String, TokenEstimator> byDeployment = new ConcurrentHashMap<>();

    long estimate(String deployment, String prompt) {
        TokenEstimator known = byDeployment.get(deployment);
        return (known == null ? new TokenEstimator() : known).estimate(sizeBytes(prompt));
    }

    void observe(String deployment, String prompt, long countedTokens) {
        if (byDeployment.size() >= MAXIMUM_DEPLOYMENTS) {
            // Deployment names change with the manifests; the estimates are soon rebuilt.
            byDeployment.clear();
        }
        byDeployment
                .computeIfAbsent(deployment, name -> new TokenEstimator())
                .observe(sizeBytes(prompt), countedTokens);
    }

    private static long sizeBytes(String prompt) {
        return prompt.getBytes(StandardCharsets.UTF_8).length;
    }
}
