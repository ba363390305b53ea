package dev.foxtailshed.kernel.direct.quota;

import java.util.Optional;

/**
 * One tenant's credit at one entry: the local bucket, the credit that was drawn from the home, and
 * the pool if this entry serves draws. Not thread-safe.
 */
final class TenantCredit {

    /** Time constant of the estimated demand. */
    private static final double DEMAND_MILLIS = 2_000;

    /**
     * Demand for which an entry keeps its local credit when a home collects: what it expects until
     * the next collection.
     */
    private static final double KEEP_MILLIS = QuotaAccounts.COLLECT_INTERVAL_MILLIS;

    /** Demand for which an entry draws in advance. */
    private static final double PREFETCH_FRACTION = 0.25;

    private CreditLimits limits;
    private int entries;
    private double local;
    private long refilledMillis;
    private final ExpiringCredit drawn = new ExpiringCredit();
    private final ExpiringCredit pool = new ExpiringCredit();
    private double debt;
    private double lost;

    private double demandPerMilli;
    private long demandMillis;
    private double meanCost;

    private Optional<Draw> drawInFlight = Optional.empty();
    private long refusedUntilMillis;
    private double refusedTokens;

    private boolean isPoolUsed;
    private long poolUsedMillis;
    private boolean isDemandUnmet;
    private double collectedTokens;
    private double roundTokens;
    double gate = -1;
    long gateMillis;

    /**
     * Creates an empty account.
     *
     * @param limits the limits
     * @param entries the number of entries; 0 if unknown, so that nothing accrues
     * @param nowMillis the current time
     */
    TenantCredit(CreditLimits limits, int entries, long nowMillis) {
        this.limits = limits;
        this.entries = entries;
        this.refilledMillis = nowMillis;
        this.demandMillis = nowMillis;
    }

    CreditLimits limits() {
        return limits;
    }

    double lost() {
        return lost;
    }

    /** Changes the limits; credit above the new ones is lost at once. */
    void configure(CreditLimits newLimits, int newEntries, long nowMillis) {
        refresh(newEntries, nowMillis);
        limits = newLimits;
        lost += Math.max(0, local - localCap());
        local = Math.min(localCap(), local);
        lost += drawn.take(Math.max(0, drawn.total() - localCap()));
        lost += pool.take(Math.max(0, pool.total() - limits.poolCapTokens()));
    }

    /** Adds the credit of a new process. */
    void addInitial() {
        local = Math.max(local, entries == 0 ? 0 : limits.initialTokens(entries));
    }

    /** Accrues local credit up to now, and removes what is too old. */
    void refresh(int newEntries, long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - refilledMillis);
        double accrued = entries == 0 ? 0 : limits.localRate(entries) * elapsedMillis;
        local = Math.min(localCap(), local + accrued);
        refilledMillis += elapsedMillis;
        if (newEntries != entries) {
            entries = newEntries;
            lost += Math.max(0, local - localCap());
            local = Math.min(localCap(), local);
        }
        lost += drawn.expire(limits.drawnMillis(), nowMillis);
        lost += pool.expire(limits.poolMillis(), nowMillis);
    }

    /** Returns the credit that this entry can spend without a draw. */
    double available() {
        return local + drawn.total() + poolAvailable();
    }

    double local() {
        return local + drawn.total();
    }

    double poolBalance() {
        return pool.total() - debt;
    }

    private double poolAvailable() {
        return Math.max(0, poolBalance());
    }

    private double localCap() {
        return entries == 0 ? local : limits.localCapTokens(entries);
    }

    /** Removes credit that is available, the credit that expires first before other. */
    void spend(double tokens) {
        double missing = tokens - drawn.take(Math.min(tokens, drawn.total()));
        double fromLocal = Math.min(missing, local);
        local -= fromLocal;
        pool.take(Math.min(missing - fromLocal, pool.total()));
    }

    /** Returns credit to the local bucket. */
    void refund(double tokens) {
        double room = Math.max(0, localCap() - local);
        double accepted = entries == 0 ? 0 : Math.min(tokens, room);
        local += accepted;
        lost += tokens - accepted;
    }

    void recordDemand(double tokens, long nowMillis) {
        decayDemand(nowMillis);
        demandPerMilli += tokens / DEMAND_MILLIS;
        meanCost += 0.1 * (tokens - meanCost);
    }

    private void decayDemand(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - demandMillis);
        demandPerMilli *= Math.exp(-elapsedMillis / DEMAND_MILLIS);
        demandMillis += elapsedMillis;
    }

    // ---- draws of this entry

    Optional<Draw> drawInFlight() {
        return drawInFlight;
    }

    void beginDraw(Draw draw) {
        drawInFlight = Optional.of(draw);
    }

    void endDraw() {
        drawInFlight = Optional.empty();
    }

    /** Returns what to ask the home for beyond what is needed, while it has plenty. */
    double wanted(double needed, long nowMillis) {
        decayDemand(nowMillis);
        double expected = demandPerMilli * limits.drawnMillis() * PREFETCH_FRACTION;
        double room = entries == 0 ? 0 : localCap() - local - drawn.total();
        return Math.max(needed, Math.min(needed + expected, room));
    }

    /** Adds credit that the home gave. */
    void addDrawn(double tokens, long sinceMillis, long nowMillis) {
        drawn.add(tokens, sinceMillis, limits.drawnMillis());
        lost += drawn.expire(limits.drawnMillis(), nowMillis);
    }

    /** Remembers that the home has no credit for a while. */
    void refuseDraws(double neededTokens, long untilMillis) {
        refusedTokens = neededTokens;
        refusedUntilMillis = untilMillis;
    }

    /** Returns the time until a draw may succeed, 0 if it may now. */
    long refusedMillis(double neededTokens, long nowMillis) {
        // A much smaller request may have better luck than the one that was refused.
        return neededTokens < refusedTokens / 2 ? 0 : Math.max(0, refusedUntilMillis - nowMillis);
    }

    /** Returns the time until the local bucket covers an amount; empty if it never does. */
    Optional<Long> accrualMillis(double tokens) {
        if (entries == 0 || tokens > localCap()) {
            return Optional.empty();
        }
        return Optional.of(
                (long) Math.ceil(Math.max(0, tokens - local) / limits.localRate(entries)));
    }

    // ---- draws of other entries

    /**
     * Takes credit from the pool.
     *
     * @return what was needed or up to what was wanted; 0 if there is not enough
     */
    double takeFromPool(double needed, double wanted, long nowMillis) {
        isPoolUsed = true;
        poolUsedMillis = nowMillis;
        double balance = poolBalance();
        double g = Double.parseDouble(System.getProperty("g", "0"));
        double pre = Double.parseDouble(System.getProperty("pre", "0"));
        if (gate < 0) {
            gate = limits.burstTokens();
        }
        double rate =
                Boolean.getBoolean("gr") && roundTokens > 0
                        ? roundTokens / 500
                        : limits.tokensPerMilli();
        gate = Math.min(limits.burstTokens(), gate + g * rate * (nowMillis - gateMillis));
        gateMillis = nowMillis;
        if (balance >= needed && (g == 0 || gate >= needed)) {
            double plenty =
                    Math.max(
                            0,
                            Math.max(
                                    balance - needed - limits.lowPoolTokens(),
                                    pre * (balance - needed)));
            if (g > 0) plenty = Math.min(plenty, gate - needed);
            double t = pool.take(needed + Math.min(Math.max(0, wanted - needed), plenty));
            gate -= t;
            return t;
        }
        if (needed > limits.burstTokens()
                && balance >= Math.min(limits.lowPoolTokens(), needed)
                && needed - balance <= limits.maximumDebtTokens()) {
            // No pool may ever cover this request, as it is larger than the burst.
            debt += needed - pool.take(pool.total());
            return needed;
        }
        isDemandUnmet = true;
        return 0;
    }

    /** Returns whether credit should be collected for the pool. */
    boolean isPoolLow(long activeMillis, long nowMillis) {
        return isPoolUsed
                && nowMillis - poolUsedMillis < activeMillis
                && (isDemandUnmet || poolBalance() < limits.lowPoolTokens());
    }

    /** Begins a round of collections with this entry's own surplus. */
    void beginRound(long nowMillis) {
        roundTokens = roundTokens == 0 ? collectedTokens : (roundTokens + collectedTokens) / 2;
        collectedTokens = 0;
        isDemandUnmet = false;
        moveSurplusToPool(nowMillis);
    }

    /** Returns what a round of collections brings, in tokens; 0 if unknown. */
    double roundTokens() {
        return roundTokens;
    }

    /** Adds credit that a peer gave up; debt is paid first. */
    double addToPool(double tokens, long sinceMillis, long nowMillis) {
        double paid = Math.min(debt, tokens);
        debt -= paid;
        double room = Math.max(0, limits.poolCapTokens() - pool.total());
        double accepted = Math.min(tokens - paid, room);
        pool.add(accepted, sinceMillis, limits.poolMillis());
        lost += tokens - paid - accepted + pool.expire(limits.poolMillis(), nowMillis);
        collectedTokens += tokens;
        return accepted;
    }

    /** Removes and returns the local credit that this entry does not need soon. */
    double giveUp(long nowMillis) {
        if (entries == 0 || drawInFlight.isPresent()) {
            return 0;
        }
        decayDemand(nowMillis);
        // Credit that cannot cover a request by itself is of more use in the pool.
        double kept =
                meanCost <= localCap()
                        ? Math.min(
                                localCap() * Double.parseDouble(System.getProperty("kc", "0")),
                                demandPerMilli
                                        * Double.parseDouble(System.getProperty("kh", "500")))
                        : 0;
        double given = Math.min(Math.max(0, local - kept), limits.giveTokens(entries));
        local -= given;
        return given;
    }

    /** Moves the local credit that this entry does not need soon to its own pool. */
    void moveSurplusToPool(long nowMillis) {
        addToPool(giveUp(nowMillis), nowMillis, nowMillis);
    }
}
