package dev.foxtailshed.kernel.direct.workspace;

import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import dev.foxtailshed.kernel.direct.quota.TokenQuota;
import java.math.BigDecimal;
import java.util.Optional;

/**
 * A customer of the deployment, whose callers share a quota and an urgency.
 *
 * @param name the workspace's name
 * @param priority the priority, which goes before that of the route; 0 is the most urgent
 * @param quota the limit over all entries together, empty if there is none
 * @param unit what the quota counts
 * @param plainTokens the cost of a request without token counts, where the quota counts tokens
 */
public record Workspace(
        String name,
        Optional<BigDecimal> priority,
        Optional<TokenQuota> quota,
        Unit unit,
        double plainTokens) {

    /** What a quota counts. */
    public enum Unit {
        /** Each request counts as one. */
        REQUESTS,
        /** A request counts as its prompt and its largest output. */
        TOKENS
    }

    /**
     * Returns what a request costs of the quota.
     *
     * @param counts the token counts that the caller sent
     * @return the cost in the quota's unit
     */
    public double cost(Optional<TokenCounts> counts) {
        if (unit == Unit.REQUESTS) {
            return 1;
        }
        return counts.map(c -> (double) c.promptTokens() + c.maximumOutputTokens())
                .orElse(plainTokens);
    }
}
