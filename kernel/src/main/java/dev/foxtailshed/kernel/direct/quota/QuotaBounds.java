package dev.foxtailshed.kernel.direct.quota;

/**
 * How far all entries together may exceed a limit.
 *
 * <p>In every window, a workspace's tokens are at most {@code (rate * window + burst) * (1 +
 * overage) + slack}.
 *
 * @param windowMillis the length of the window, in milliseconds
 * @param overage the relative excess, such as 0.1
 * @param slackTokens the absolute excess, in tokens
 */
public record QuotaBounds(long windowMillis, double overage, double slackTokens) {

    /** Rejects bounds that cannot be computed with. */
    public QuotaBounds {
        if (windowMillis <= 0
                || !(overage >= 0)
                || !(slackTokens >= 0)
                || !Double.isFinite(overage + slackTokens)) {
            throw new IllegalArgumentException(
                    "expected a positive window and an overage and a slack of at least 0, found "
                            + windowMillis
                            + ", "
                            + overage
                            + " and "
                            + slackTokens);
        }
    }

    /**
     * Returns the most tokens that may be spent in any window.
     *
     * @param quota the limit
     * @return tokens
     */
    public double maximumTokens(TokenQuota quota) {
        return nominalTokens(quota) + excessTokens(quota);
    }

    /** Returns the tokens above the limit that may be spent in any window. */
    double excessTokens(TokenQuota quota) {
        return nominalTokens(quota) * overage + slackTokens;
    }

    private double nominalTokens(TokenQuota quota) {
        return quota.tokensPerSecond() * windowMillis / 1_000 + quota.burstTokens();
    }
}
