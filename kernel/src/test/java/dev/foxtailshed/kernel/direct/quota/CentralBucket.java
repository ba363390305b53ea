package dev.foxtailshed.kernel.direct.quota;

/** A single token bucket for all requests, which the entries are compared with. */
final class CentralBucket {

    private final TokenQuota quota;
    private double credit;
    private long refilledMillis;

    CentralBucket(TokenQuota quota) {
        this.quota = quota;
        this.credit = quota.burstTokens();
    }

    /** Returns whether the request is admitted. */
    boolean spend(double tokens, long nowMillis) {
        double accrued = quota.tokensPerSecond() * (nowMillis - refilledMillis) / 1_000;
        credit = Math.min(quota.burstTokens(), credit + accrued);
        refilledMillis = nowMillis;
        if (credit < tokens) {
            return false;
        }
        credit -= tokens;
        return true;
    }
}
