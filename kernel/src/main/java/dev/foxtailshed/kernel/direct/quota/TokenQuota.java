package dev.foxtailshed.kernel.direct.quota;

/**
 * The limit on a workspace's traffic over all entries together: a token bucket.
 *
 * @param tokensPerSecond the rate at which the workspace earns credit
 * @param burstTokens the most credit that the workspace saves up
 */
public record TokenQuota(double tokensPerSecond, double burstTokens) {

    /** Rejects limits that no request could pass. */
    public TokenQuota {
        if (!(tokensPerSecond > 0) || !(burstTokens >= 0)) {
            throw new IllegalArgumentException(
                    "expected a positive rate and a burst of at least 0, found "
                            + tokensPerSecond
                            + " and "
                            + burstTokens);
        }
    }
}
