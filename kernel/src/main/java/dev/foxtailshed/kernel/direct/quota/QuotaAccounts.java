package dev.foxtailshed.kernel.direct.quota;

import dev.foxtailshed.kernel.direct.EntryOrder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/** Keeps each tenant within its limit over all entries together. */
public final class QuotaAccounts {

    /** Shortest time between two rounds of collections, over all tenants. */
    static final long COLLECT_INTERVAL_MILLIS = 500;

    /** Longest time without a draw after a refused one, so that new credit is not left unused. */
    private static final long MAXIMUM_REFUSED_MILLIS = COLLECT_INTERVAL_MILLIS;

    /** A lower number of entries takes effect after this many windows. */
    private static final int HOLD_WINDOWS = 2;

    /** Initial estimate of the time that a collection takes. */
    private static final double INITIAL_ROUND_TRIP_MILLIS = 10;

    private final String self;
    private final Map<String, TenantCredit> credits = new HashMap<>();
    private final Map<String, TenantCredit> pools = new HashMap<>();
    private final Map<String, Collect> collects = new HashMap<>();
    private final PeerFailures failures = new PeerFailures();
    private final EntryCount entryCount = new EntryCount();
    private List<String> members;
    private long windowMillis;
    private boolean isInitialCreditGiven;
    private long lastRoundMillis;
    private boolean hasRound;
    private double roundTripMillis = INITIAL_ROUND_TRIP_MILLIS;

    public QuotaAccounts(String self) {
        this.self = self;
        this.members = List.of(self);
    }

    public void configure(
            Map<String, TokenQuota> quotas,
            QuotaBounds bounds,
            OptionalInt entries,
            List<String> memberAddresses,
            long nowMillis) {
        windowMillis = bounds.windowMillis();
        entryCount.configure(entries, HOLD_WINDOWS * windowMillis, nowMillis);
        members = withSelf(memberAddresses);
        failures.retain(members);
        collects.keySet().retainAll(members);
        credits.keySet().retainAll(quotas.keySet());
        pools.keySet().retainAll(quotas.keySet());
        int count = entryCount(nowMillis);
        quotas.forEach(
                (tenant, quota) -> {
                    CreditLimits limits = CreditLimits.of(quota, bounds);
                    TenantCredit credit = credits.get(tenant);
                    if (credit == null) {
                        credits.put(tenant, new TenantCredit(limits, count, nowMillis));
                    } else {
                        credit.configure(limits, count, nowMillis);
                    }
                });
        if (!isInitialCreditGiven && count > 0 && !credits.isEmpty()) {
            isInitialCreditGiven = true;
            credits.values().forEach(TenantCredit::addInitial);
        }
    }

    public Decision spend(String tenant, double tokens, long nowMillis) {
        requireAmount(tokens);
        TenantCredit credit = refreshed(tenant, nowMillis);
        if (credit == null) {
            return Decision.ADMITTED;
        }
        double missing = tokens - credit.available();
        if (missing <= 0) {
            credit.spend(tokens);
            credit.recordDemand(tokens, nowMillis);
            return Decision.ADMITTED;
        }
        if (home(tenant, nowMillis).equals(self)) {
            return spendFromOwnPool(tenant, credit, tokens, nowMillis);
        }
        long refusedMillis = credit.refusedMillis(missing, nowMillis);
        if (refusedMillis == 0 || credit.drawInFlight().isPresent()) {
            return Decision.DRAW;
        }
        credit.recordDemand(tokens, nowMillis);
        return rejected(credit, tokens, refusedMillis);
    }

    private Decision spendFromOwnPool(
            String tenant, TenantCredit credit, double tokens, long nowMillis) {
        credit.recordDemand(tokens, nowMillis);
        pools.put(tenant, credit);
        double missing = tokens - credit.local();
        double taken = credit.takeFromPool(missing, missing, nowMillis);
        if (taken > 0) {
            credit.spend(tokens - taken);
            return Decision.ADMITTED;
        }
        return rejected(credit, tokens, creditAfterMillis(credit, missing, nowMillis));
    }

    private static Decision rejected(TenantCredit credit, double tokens, long creditAfterMillis) {
        long accrualMillis = credit.accrualMillis(tokens).orElse(Long.MAX_VALUE);
        return Decision.rejected(Math.min(creditAfterMillis, accrualMillis));
    }

    public void refund(String tenant, double tokens, long nowMillis) {
        requireAmount(tokens);
        TenantCredit credit = refreshed(tenant, nowMillis);
        if (credit != null) {
            credit.refund(tokens);
        }
    }

    public Optional<Draw> nextDraw(String tenant, double tokens, long nowMillis) {
        requireAmount(tokens);
        TenantCredit credit = refreshed(tenant, nowMillis);
        if (credit == null || credit.drawInFlight().isPresent()) {
            return Optional.empty();
        }
        double needed = tokens - credit.available();
        String home = home(tenant, nowMillis);
        if (needed <= 0 || home.equals(self)) {
            return Optional.empty();
        }
        double wanted = credit.wanted(needed, nowMillis);
        Draw draw = new Draw(home, tenant, needed, wanted, nowMillis);
        credit.beginDraw(draw);
        return Optional.of(draw);
    }

    public DrawReply onDraw(
            String tenant, double neededTokens, double wantedTokens, long nowMillis) {
        TenantCredit credit = refreshed(tenant, nowMillis);
        if (credit == null || !isAmount(neededTokens) || !isAmount(wantedTokens)) {
            return new DrawReply(0, COLLECT_INTERVAL_MILLIS);
        }
        pools.put(tenant, credit);
        if (credit.poolBalance() < neededTokens) {
            credit.moveSurplusToPool(nowMillis);
        }
        double tokens = credit.takeFromPool(neededTokens, wantedTokens, nowMillis);
        return tokens > 0
                ? new DrawReply(tokens, 0)
                : new DrawReply(0, creditAfterMillis(credit, neededTokens, nowMillis));
    }

    public void onDrawReply(Draw draw, DrawReply reply, long nowMillis) {
        TenantCredit credit = endDraw(draw, nowMillis);
        if (credit == null) {
            return;
        }
        failures.recordResponse(draw.home());
        double tokens =
                isAmount(reply.tokens()) ? Math.min(reply.tokens(), draw.wantedTokens()) : 0;
        credit.addDrawn(tokens, draw.sentMillis(), nowMillis);
        if (tokens < draw.neededTokens()) {
            long waitMillis =
                    Math.max(1, Math.min(MAXIMUM_REFUSED_MILLIS, reply.creditAfterMillis()));
            credit.refuseDraws(draw.neededTokens(), nowMillis + waitMillis);
        }
    }

    public void onDrawLost(Draw draw, long nowMillis) {
        endDraw(draw, nowMillis);
        failures.recordFailure(draw.home(), nowMillis);
    }

    private TenantCredit endDraw(Draw draw, long nowMillis) {
        TenantCredit credit = refreshed(draw.tenant(), nowMillis);
        if (credit == null || !credit.drawInFlight().equals(Optional.of(draw))) {
            return null;
        }
        credit.endDraw();
        return credit;
    }

    public List<Collect> nextCollects(long nowMillis) {
        if (pools.isEmpty()
                || (hasRound && nowMillis - lastRoundMillis < COLLECT_INTERVAL_MILLIS)) {
            return List.of();
        }
        List<String> low = new ArrayList<>();
        pools.forEach(
                (tenant, credit) -> {
                    credit.refresh(entryCount(nowMillis), nowMillis);
                    long activeMillis = Math.max(windowMillis, 2 * credit.limits().poolMillis());
                    if (credit.isPoolLow(activeMillis, nowMillis)) {
                        low.add(tenant);
                        credit.beginRound(nowMillis);
                    }
                });
        if (low.isEmpty()) {
            return List.of();
        }
        hasRound = true;
        lastRoundMillis = nowMillis;
        List<String> tenants = List.copyOf(low);
        List<Collect> round = new ArrayList<>();
        for (String peer : members) {
            if (!peer.equals(self)
                    && !collects.containsKey(peer)
                    && failures.isUsable(peer, nowMillis)) {
                Collect collect = new Collect(peer, tenants, nowMillis);
                collects.put(peer, collect);
                round.add(collect);
            }
        }
        return round;
    }

    public Map<String, Double> onCollect(List<String> tenants, long nowMillis) {
        Map<String, Double> given = new HashMap<>();
        for (String tenant : tenants) {
            TenantCredit credit = refreshed(tenant, nowMillis);
            double tokens = credit == null ? 0 : credit.giveUp(nowMillis);
            if (tokens > 0) {
                given.put(tenant, tokens);
            }
        }
        return given;
    }

    public void onCollectReply(Collect collect, Map<String, Double> tokens, long nowMillis) {
        if (!collects.remove(collect.peer(), collect)) {
            return;
        }
        failures.recordResponse(collect.peer());
        roundTripMillis += 0.05 * (nowMillis - collect.sentMillis() - roundTripMillis);
        for (String tenant : collect.tenants()) {
            Double given = tokens.get(tenant);
            TenantCredit credit = refreshed(tenant, nowMillis);
            if (credit != null && given != null && isAmount(given)) {
                int count = Math.max(1, entryCount(nowMillis));
                double credible = credit.limits().localCapTokens(count);
                credit.addToPool(Math.min(given, credible), collect.sentMillis(), nowMillis);
            }
        }
    }

    public void onCollectLost(Collect collect, long nowMillis) {
        if (collects.remove(collect.peer(), collect)) {
            failures.recordFailure(collect.peer(), nowMillis);
        }
    }

    public double localTokens(String tenant, long nowMillis) {
        TenantCredit credit = refreshed(tenant, nowMillis);
        return credit == null ? 0 : credit.local();
    }

    public double poolTokens(String tenant, long nowMillis) {
        TenantCredit credit = refreshed(tenant, nowMillis);
        return credit == null ? 0 : credit.poolBalance();
    }

    public double lostTokens(String tenant) {
        TenantCredit credit = credits.get(tenant);
        return credit == null ? 0 : credit.lost();
    }

    private TenantCredit refreshed(String tenant, long nowMillis) {
        TenantCredit credit = credits.get(tenant);
        if (credit != null) {
            credit.refresh(entryCount(nowMillis), nowMillis);
        }
        return credit;
    }

    private int entryCount(long nowMillis) {
        return Math.max(0, entryCount.get(nowMillis).orElse(0));
    }

    private String home(String tenant, long nowMillis) {
        List<String> usable =
                members.stream()
                        .filter(m -> m.equals(self) || failures.isUsable(m, nowMillis))
                        .toList();
        return EntryOrder.first(Set.of(tenant), usable).orElse(self);
    }

    private long creditAfterMillis(TenantCredit credit, double needed, long nowMillis) {
        double missing = Math.max(0, needed - credit.poolBalance());
        double expected =
                Math.max(
                        credit.roundTokens(),
                        0.1 * credit.limits().tokensPerMilli() * COLLECT_INTERVAL_MILLIS);
        double rounds = Math.max(1, Math.ceil(missing / expected));
        boolean isRoundInFlight = hasRound && nowMillis - lastRoundMillis < 2 * roundTripMillis;
        double firstMillis =
                isRoundInFlight || !hasRound
                        ? roundTripMillis
                        : Math.max(0, lastRoundMillis + COLLECT_INTERVAL_MILLIS - nowMillis)
                                + roundTripMillis;
        double waitMillis = firstMillis + (rounds - 1) * COLLECT_INTERVAL_MILLIS;
        return (long) Math.max(1, Math.min(windowMillis, Math.ceil(waitMillis)));
    }

    private List<String> withSelf(Collection<String> addresses) {
        List<String> all = new ArrayList<>(Set.copyOf(addresses));
        if (!all.contains(self)) {
            all.add(self);
        }
        all.sort(null);
        return List.copyOf(all);
    }

    private static boolean isAmount(double tokens) {
        return tokens >= 0 && Double.isFinite(tokens);
    }

    private static void requireAmount(double tokens) {
        if (!isAmount(tokens)) {
            throw new IllegalArgumentException(
                    "expected a finite number of tokens of at least 0, found " + tokens);
        }
    }
}
