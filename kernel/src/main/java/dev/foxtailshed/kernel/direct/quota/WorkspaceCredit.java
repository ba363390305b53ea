package dev.foxtailshed.kernel.direct.quota;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * One workspace's credit at one entry: the local bucket, the credit that was drawn from the home,
 * and the pool if this entry is asked for draws. Not thread-safe.
 */
final class WorkspaceCredit {

    /** Time constant of the estimated demand. */
    private static final double DEMAND_MILLIS = 2_000;

    /** Weight of the newest request in the mean cost. */
    private static final double COST_WEIGHT = 0.1;

    /** Part of the life of drawn credit for which an entry draws in advance. */
    private static final double PREFETCH_FRACTION = 0.25;

    /**
     * Fewest requests that an entry draws in advance for. Less may not cover a request, and would
     * expire here while other entries need it.
     */
    private static final double MINIMUM_PREFETCH_REQUESTS = 2;

    /**
     * Time after a refused draw without draws in advance. At the limit they would let large
     * requests save up the credit of small ones.
     */
    private static final long SCARCE_MILLIS = 2 * QuotaAccounts.COLLECT_INTERVAL_MILLIS;

    /** How much smaller than a refused draw another one must be, to be worth a try. */
    private static final double SMALLER_DRAW = 0.5;

    /** What may be missing because of rounding, when a draw has given exactly what was needed. */
    private static final double ROUNDING_TOKENS = 1e-6;

    private CreditLimits limits;
    private int entries;
    private double local;
    private long refilledMillis;
    private final ExpiringCredit drawn = new ExpiringCredit();
    private Optional<CreditPool> pool = Optional.empty();
    private double lost;

    private double demandPerMilli;
    private long demandMillis;
    private double meanCost;

    private Optional<Draw> drawInFlight = Optional.empty();
    private long refusedUntilMillis = Long.MIN_VALUE / 2;
    private double refusedTokens;

    /**
     * Creates an account without credit.
     *
     * @param limits the limits
     * @param entries the number of entries; 0 if unknown, so that nothing accrues
     * @param nowMillis the current time
     */
    WorkspaceCredit(CreditLimits limits, int entries, long nowMillis) {
        this.limits = limits;
        this.entries = entries;
        this.refilledMillis = nowMillis;
        this.demandMillis = nowMillis;
    }

    CreditLimits limits() {
        return limits;
    }

    /** Returns the transferred or saved credit that was lost, in all. */
    double lost() {
        return lost;
    }

    /** Changes the limits; credit above the new ones is lost at once. */
    void configure(CreditLimits newLimits, int newEntries, long nowMillis) {
        refresh(newEntries, nowMillis);
        limits = newLimits;
        cutLocal();
        lost += drawn.take(Math.max(0, drawn.total() - localCap()));
        pool.ifPresent(present -> present.configure(newLimits));
    }

    /** Adds the credit of a new process. */
    void addInitial() {
        local = Math.max(local, entries == 0 ? 0 : limits.initialTokens(entries));
    }

    /** Accrues local credit up to now, and removes what is too old. */
    void refresh(int newEntries, long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - refilledMillis);
        double accrued = entries == 0 ? 0 : limits.localRate(entries) * elapsedMillis;
        // Accrual to a full bucket is not counted as lost: a central bucket overflows as well.
        local = Math.min(localCap(), local + accrued);
        refilledMillis += elapsedMillis;
        if (newEntries != entries) {
            entries = newEntries;
            cutLocal();
        }
        lost += drawn.expire(limits.drawnMillis(), nowMillis);
        if (pool.isPresent()) {
            pool.get().refresh(nowMillis);
            lost += pool.get().takeLost();
        }
    }

    private void cutLocal() {
        lost += Math.max(0, local - localCap());
        local = Math.min(localCap(), local);
    }

    private double localCap() {
        return entries == 0 ? local : limits.localCapTokens(entries);
    }

    private double localRoom() {
        return Math.max(0, localCap() - local - drawn.total());
    }

    /** Returns the credit that this entry has for itself, without the pool. */
    double own() {
        return local + drawn.total();
    }

    /** Returns whether own credit covers an amount. */
    boolean covers(double tokens) {
        return own() + ROUNDING_TOKENS >= tokens;
    }

    /** Spends own credit, the drawn part first, as it expires sooner. */
    void spendOwn(double tokens) {
        double fromDrawn = drawn.take(Math.min(tokens, drawn.total()));
        local = Math.max(0, local - (tokens - fromDrawn));
    }

    /** Returns credit to the local bucket. */
    void refund(double tokens) {
        double accepted = Math.min(tokens, Math.max(0, localCap() - local));
        local += accepted;
        lost += tokens - accepted;
    }

    /** Records a request that was admitted or rejected. */
    void recordDemand(double tokens, long nowMillis) {
        decayDemand(nowMillis);
        demandPerMilli += tokens / DEMAND_MILLIS;
        meanCost += COST_WEIGHT * (tokens - meanCost);
    }

    private void decayDemand(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - demandMillis);
        demandPerMilli *= Math.exp(-elapsedMillis / DEMAND_MILLIS);
        demandMillis += elapsedMillis;
    }

    /** Returns the time until own credit covers an amount; empty if it never does. */
    OptionalLong accrualMillis(double tokens) {
        if (entries == 0 || tokens > localCap()) {
            return OptionalLong.empty();
        }
        double missing = Math.max(0, tokens - own());
        return OptionalLong.of((long) Math.ceil(missing / limits.localRate(entries)));
    }

    /** Returns the pool; empty if this entry has not served draws. */
    Optional<CreditPool> pool() {
        return pool;
    }

    /** Returns the pool, which is created if this entry has none. */
    CreditPool poolForUse(long nowMillis) {
        if (pool.isEmpty()) {
            pool = Optional.of(new CreditPool(limits, nowMillis));
        }
        return pool.get();
    }

    /** Removes the pool. */
    void dropPool() {
        pool = Optional.empty();
    }

    /**
     * Removes and returns local credit for a home. Everything goes to the home that can still be of
     * use there: credit that each entry keeps for its own demand is missing where requests come
     * next, which cost up to 29 % of the traffic at the limit in simulations. Only a request that
     * waits for a draw keeps what it has.
     */
    double giveUp() {
        if (entries == 0 || drawInFlight.isPresent()) {
            return 0;
        }
        double given = Math.min(local, limits.giveTokens(entries));
        local -= given;
        return given;
    }

    Optional<Draw> drawInFlight() {
        return drawInFlight;
    }

    /**
     * Begins a draw for a request.
     *
     * @param home the entry to ask
     * @param workspace the name of the workspace
     * @param tokens the cost of the request, which own credit does not cover
     * @param allTokens the cost of all waiting requests
     * @param nowMillis the current time
     * @return the draw, which also asks for credit for other waiting or expected requests, as far
     *     as there is room for it
     */
    Draw beginDraw(String home, String workspace, double tokens, double allTokens, long nowMillis) {
        decayDemand(nowMillis);
        double needed = tokens - own();
        double more = Math.max(allTokens - tokens, inAdvance(nowMillis));
        double room = entries == 0 ? 0 : localRoom();
        double wanted = Math.max(needed, Math.min(needed + more, room));
        Draw draw = new Draw(home, workspace, needed, wanted, nowMillis);
        drawInFlight = Optional.of(draw);
        return draw;
    }

    private double inAdvance(long nowMillis) {
        boolean isScarce = nowMillis - refusedUntilMillis < SCARCE_MILLIS;
        double expected = demandPerMilli * limits.drawnMillis() * PREFETCH_FRACTION;
        return isScarce || expected < MINIMUM_PREFETCH_REQUESTS * meanCost ? 0 : expected;
    }

    void endDraw() {
        drawInFlight = Optional.empty();
    }

    /** Adds credit that the home gave. */
    void addDrawn(double tokens, long sinceMillis, long nowMillis) {
        if (nowMillis - sinceMillis >= limits.drawnMillis()) {
            lost += tokens;
        } else {
            drawn.add(tokens, sinceMillis, limits.drawnMillis());
        }
    }

    /** Records that the home has no credit for a while. */
    void refuseDraws(double neededTokens, long untilMillis) {
        refusedTokens = neededTokens;
        refusedUntilMillis = untilMillis;
    }

    /** Returns the time until a draw may succeed, 0 if it may now. */
    long refusedMillis(double neededTokens, long nowMillis) {
        return neededTokens < refusedTokens * SMALLER_DRAW
                ? 0
                : Math.max(0, refusedUntilMillis - nowMillis);
    }
}
