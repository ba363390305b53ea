package dev.foxtailshed.kernel.direct.quota;

/**
 * A workspace's credit at its home, from which the entries draw. Not thread-safe.
 *
 * <p>Credit comes in rounds of collections, but is given out about as fast as it accrues, like that
 * of a central token bucket. Otherwise, above the limit, the large requests just after a round
 * would use it up, and small ones would find nothing until the next.
 */
final class CreditPool {

    /**
     * Speed at which collected credit is given out, in relation to the rate. It is above 1, so that
     * a pool is empty before the next round, and credit does not grow too old in it.
     */
    private static final double RELEASE_FACTOR = 1.2;

    /** Weight of the newest round in the expected size of the next one. */
    private static final double ROUND_WEIGHT = 0.5;

    /** How much smaller than a refused request another one must be, to come before it. */
    private static final double SMALLER_REQUEST = 0.5;

    /** Longest time that is due to refused requests; entries ask again after that in any case. */
    private static final double MAXIMUM_TURN_MILLIS = QuotaAccounts.COLLECT_INTERVAL_MILLIS;

    private final ExpiringCredit credit = new ExpiringCredit();
    private CreditLimits limits;
    private double debt;
    private double released;
    private long releasedMillis;
    private double lost;

    private long usedMillis;
    private boolean isDemandUnmet;

    private double refusedTokens;
    private double refusedUntilMillis;

    private boolean hasRound;
    private long lastRoundMillis;
    private double collectedTokens;
    private double roundTokens;

    /** Creates an empty pool, which is in use. */
    CreditPool(CreditLimits limits, long nowMillis) {
        this.limits = limits;
        this.released = limits.burstTokens();
        this.releasedMillis = nowMillis;
        this.usedMillis = nowMillis;
    }

    /** Changes the limits; credit above the new ones is lost at once. */
    void configure(CreditLimits newLimits) {
        limits = newLimits;
        released = Math.min(released, limits.burstTokens());
        lost += credit.take(Math.max(0, credit.total() - limits.poolCapTokens()));
    }

    /** Removes what is too old. */
    void refresh(long nowMillis) {
        lost += credit.expire(limits.poolMillis(), nowMillis);
        long elapsedMillis = Math.max(0, nowMillis - releasedMillis);
        released += RELEASE_FACTOR * limits.tokensPerMilli() * elapsedMillis;
        released = Math.min(released, limits.burstTokens());
        releasedMillis += elapsedMillis;
    }

    /** Returns the credit; negative if the pool is in debt. */
    double balance() {
        return credit.total() - debt;
    }

    /** Returns the credit that was lost since the last call. */
    double takeLost() {
        double taken = lost;
        lost = 0;
        return taken;
    }

    /**
     * Takes credit.
     *
     * @param needed less is of no use
     * @param wanted the most to take
     * @param nowMillis the current time, for which the pool is refreshed
     * @return at least what is needed; 0 if there is not enough
     */
    double take(double needed, double wanted, long nowMillis) {
        usedMillis = nowMillis;
        double balance = balance();
        if (hasRound && nowMillis - lastRoundMillis < 2 * QuotaAccounts.COLLECT_INTERVAL_MILLIS) {
            // What has just been collected is all that there is.
            released = Math.min(released, Math.max(0, balance));
        }
        if (needed > limits.burstTokens()) {
            return takeMoreThanBurst(needed);
        }
        double most = Math.min(balance, released);
        if (most < needed) {
            isDemandUnmet |= balance < needed;
            return 0;
        }
        double taken = credit.take(Math.min(most, Math.max(needed, wanted)));
        released -= taken;
        return taken;
    }

    /**
     * Takes credit for a request that is larger than the burst, so that no central bucket could
     * ever cover it. It may leave a bounded debt, which is paid before anything else is given.
     */
    private double takeMoreThanBurst(double needed) {
        double balance = balance();
        double missing = Math.max(0, needed - balance);
        if (balance < Math.min(needed, limits.lowPoolTokens())
                || missing > limits.maximumDebtTokens()) {
            isDemandUnmet = true;
            return 0;
        }
        credit.take(needed - missing);
        debt += missing;
        released = 0;
        return needed;
    }

    /** Adds credit that was collected; debt is paid first. */
    void add(double tokens, long sinceMillis, long nowMillis) {
        if (nowMillis - sinceMillis >= limits.poolMillis()) {
            lost += tokens;
            return;
        }
        double paid = Math.min(debt, tokens);
        debt -= paid;
        double room = Math.max(0, limits.poolCapTokens() - credit.total());
        double accepted = Math.min(tokens - paid, room);
        credit.add(accepted, sinceMillis, limits.poolMillis());
        lost += tokens - paid - accepted;
        collectedTokens += tokens;
    }

    /** Returns the time since credit was last asked for. */
    long idleMillis(long nowMillis) {
        return nowMillis - usedMillis;
    }

    /** Returns whether credit should be collected, if the pool is in use. */
    boolean needsCredit() {
        return isDemandUnmet || balance() < limits.lowPoolTokens();
    }

    /** Records that credit is being collected. */
    void beginRound(long nowMillis) {
        if (hasRound) {
            roundTokens += ROUND_WEIGHT * (collectedTokens - roundTokens);
        }
        collectedTokens = 0;
        isDemandUnmet = false;
        hasRound = true;
        lastRoundMillis = nowMillis;
    }

    /**
     * Estimates when a request that was just refused can be covered. Requests that are refused one
     * after the other are told times one after the other, so that they do not all come back when
     * there is credit for the first of them.
     *
     * @param needed what the request needs
     * @param nextRoundMillis the time until the credit of the next round, or of the one that is in
     *     flight, arrives
     * @param nowMillis the current time
     * @return milliseconds
     */
    double refuse(double needed, double nextRoundMillis, long nowMillis) {
        double waitMillis = waitMillis(needed, nextRoundMillis);
        if (needed < refusedTokens * SMALLER_REQUEST && refusedUntilMillis > nowMillis) {
            // What is left over between larger requests is enough.
            return waitMillis;
        }
        double turnMillis =
                refusedUntilMillis
                        - nowMillis
                        + needed / (RELEASE_FACTOR * limits.tokensPerMilli());
        waitMillis = Math.max(waitMillis, Math.min(turnMillis, MAXIMUM_TURN_MILLIS));
        refusedTokens = needed;
        refusedUntilMillis = nowMillis + waitMillis;
        return waitMillis;
    }

    private double waitMillis(double needed, double nextRoundMillis) {
        double releaseMillis =
                Math.max(0, Math.min(needed, limits.burstTokens()) - released)
                        / (RELEASE_FACTOR * limits.tokensPerMilli());
        double missing = needed - balance();
        if (missing <= 0) {
            return releaseMillis;
        }
        long intervalMillis = QuotaAccounts.COLLECT_INTERVAL_MILLIS;
        // Peers that need their credit themselves give little, but the estimate stays finite.
        double least = ROUND_WEIGHT * limits.tokensPerMilli() * intervalMillis;
        double rounds = Math.ceil(missing / Math.max(least, roundTokens));
        return Math.max(releaseMillis, nextRoundMillis + (rounds - 1) * intervalMillis);
    }
}
