package dev.foxtailshed.kernel.manifest;

/**
 * A routing policy.
 *
 * @param name the name of the policy
 * @param router the algorithm that places requests
 * @param retryBudgetPercent the permitted retries in percent of first attempts
 * @param queueLimit the maximum number of requests that wait at one instance
 * @param maximumAttempts the maximum number of attempts of one request, including the first
 * @param preferZonePenaltyMillis the penalty for a server in another availability zone
 */
public record Policy(
        String name,
        RouterKind router,
        int retryBudgetPercent,
        int queueLimit,
        int maximumAttempts,
        long preferZonePenaltyMillis) {}
