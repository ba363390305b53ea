package dev.foxtailshed.kernel.direct.quota;

/**
 * How long a workspace's credit may be kept in each place, which bounds what can be spent in a
 * window.
 *
 * <p>Credit is lost when it has been kept for longer than {@code localMillis} in the local bucket
 * where it accrued (by the size of the bucket), {@code poolMillis} in a home's pool or {@code
 * drawnMillis} at the entry that drew it. So all tokens that are spent in a window have accrued in
 * that window or in the sum of these times before it. The sum is the time in which the burst and
 * {@link #STORED_SHARE} of the excess accrue. This needs no agreement about who is the home, unlike
 * a limit on the size of each pool alone: a lost message or a partition makes two homes, and two
 * pools with the burst each may exceed the bound of a workspace with a large burst.
 *
 * <p>The rest of the excess covers the credit of new processes, the debt of a home, and what
 * entries accrue beyond the rate while some of them count too few entries.
 *
 * @param tokensPerMilli the rate of the workspace over all entries
 * @param burstTokens the burst of the workspace
 * @param excessTokens what the bounds allow above the limit in a window
 * @param localMillis the time in which a local bucket fills up
 * @param poolMillis how long collected credit is kept in a pool
 * @param drawnMillis how long drawn credit is kept
 */
record CreditLimits(
        double tokensPerMilli,
        double burstTokens,
        double excessTokens,
        long localMillis,
        long poolMillis,
        long drawnMillis) {

    /** Part of the excess that may be stored, in addition to the burst. */
    private static final double STORED_SHARE = 0.6;

    /**
     * Part of the excess that all entries together get when they start. All of them may start ten
     * times in a window, which uses up what may not be stored.
     */
    private static final double INITIAL_SHARE = 0.04;

    /** Part of the excess that a home may lend to a request that is larger than the burst. */
    private static final double DEBT_SHARE = 0.1;

    /**
     * Longest time in which stored credit accrues, in windows, in addition to the burst. A slack
     * that is large compared with a workspace's rate would otherwise allow it hours of credit.
     */
    private static final double MAXIMUM_STORED_WINDOWS = 4;

    /** Drawn credit is mostly spent at once. */
    private static final double DRAWN_FRACTION = 0.1;

    /** Longest time that a draw may take; later replies are of no use to the caller. */
    private static final long MAXIMUM_DRAWN_MILLIS = 500;

    /** The local buckets, too, have to keep what accrues between two collections. */
    private static final double MAXIMUM_POOL_FRACTION = 0.45;

    /**
     * How long a pool keeps credit, in relation to the time in which the burst accrues. At 1, a
     * pool loses 2 to 4 % of the traffic at the limit, as only a part of the credit goes through
     * it.
     */
    private static final double POOL_BURSTS = 1.5;

    /** A pool keeps credit for longer than the time between two collections. */
    private static final long MINIMUM_POOL_MILLIS = QuotaAccounts.COLLECT_INTERVAL_MILLIS * 3 / 2;

    static CreditLimits of(TokenQuota quota, QuotaBounds bounds) {
        double tokensPerMilli = quota.tokensPerSecond() / 1_000;
        double excess = bounds.excessTokens(quota);
        double burstMillis = quota.burstTokens() / tokensPerMilli;
        double excessMillis =
                Math.min(
                        STORED_SHARE * excess / tokensPerMilli,
                        MAXIMUM_STORED_WINDOWS * bounds.windowMillis());
        double storedMillis = burstMillis + excessMillis;
        double drawnMillis = Math.min(MAXIMUM_DRAWN_MILLIS, DRAWN_FRACTION * storedMillis);
        double poolMillis =
                Math.min(
                        Math.max(
                                MINIMUM_POOL_MILLIS,
                                Double.parseDouble(System.getProperty("bm", "1.5")) * burstMillis),
                        MAXIMUM_POOL_FRACTION * storedMillis);
        return new CreditLimits(
                tokensPerMilli,
                quota.burstTokens(),
                excess,
                (long) (storedMillis - drawnMillis - poolMillis),
                (long) poolMillis,
                (long) drawnMillis);
    }

    /** Returns the rate of one of several entries, in tokens per millisecond. */
    double localRate(int entries) {
        return tokensPerMilli / entries;
    }

    /** Returns the size of the local bucket of one of several entries. */
    double localCapTokens(int entries) {
        return localRate(entries) * localMillis;
    }

    /** Returns the credit of a new process. */
    double initialTokens(int entries) {
        return Math.min(INITIAL_SHARE * excessTokens / entries, localCapTokens(entries));
    }

    /** Returns the most credit that can exist, and so the most that a pool can hold. */
    double poolCapTokens() {
        return tokensPerMilli * (localMillis + poolMillis + drawnMillis);
    }

    /** Returns the amount below which a pool in use is refilled. */
    double lowPoolTokens() {
        return burstTokens / 2;
    }

    /**
     * Returns the most credit that an entry gives to a home at once: enough to fill the pool, and
     * more than accrues between two collections. Anything beyond that would only expire there.
     */
    double giveTokens(int entries) {
        double accruedTokens = tokensPerMilli * MINIMUM_POOL_MILLIS;
        return Math.max(accruedTokens, burstTokens / 2) / entries;
    }

    /** Returns the most that a home may lend to a request that is larger than the burst. */
    double maximumDebtTokens() {
        return DEBT_SHARE * excessTokens;
    }
}
