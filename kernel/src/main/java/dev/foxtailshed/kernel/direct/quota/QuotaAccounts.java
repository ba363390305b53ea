package dev.foxtailshed.kernel.direct.quota;

import dev.foxtailshed.kernel.direct.EntryOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Keeps each workspace within its limit over all entries together: the credit of one entry, and its
 * side of the messages between entries.
 *
 * <p>Load pattern: a workspace's requests come to any of hundreds of entries, and at the smallest
 * limits an entry's even share is less than one request. Each entry accrues its share in a local
 * bucket. What a request lacks is drawn from the workspace's home, which collects the credit of all
 * entries in its pool. The home is the first entry in the order of {@link EntryOrder} that answers.
 * An entry is also the home for itself while nobody else answers.
 *
 * <p>A transfer is subtracted before the reply is sent and added when it arrives, so that a lost
 * message loses credit. Credit also expires, see {@link CreditLimits}; the bound therefore holds
 * whatever the entries believe about each other, except for their number: while some entries count
 * too few, all together accrue more than the limit, for which a part of the excess is reserved.
 * Nothing that a peer sends adds more credit than was asked for or than a peer may hold.
 *
 * <p>A request that is larger than the burst is admitted as soon as the pool holds half the burst,
 * and leaves a debt, which accrual has to make up before the pool gives anything else. The debt is
 * at most a tenth of the excess; a request that would need more is always rejected.
 *
 * <p>The caller sends what {@link #nextDraw} and {@link #nextCollects} return, and reports the end
 * of each message exactly once, as a reply or as lost. It sends {@link #knownEntryCount} along with
 * each message and reply. {@link #nextCollects} is to be called whenever a request or a draw has
 * found no credit, and regularly, such as every 100 ms. The first request after an idle time may
 * find an empty pool, and is told to spend again after the few milliseconds of a collection.
 *
 * <p>Requests are to be spent when they are sent to a server: what waits between the two adds to
 * the bound. Times are milliseconds of a monotonic clock. Not thread-safe.
 */
public final class QuotaAccounts {

    /** Shortest time between two rounds of collections, over all workspaces. */
    static final long COLLECT_INTERVAL_MILLIS = 500;

    /** Longest time without a draw after a refused one, so that new credit is not left unused. */
    private static final long MAXIMUM_REFUSED_MILLIS = COLLECT_INTERVAL_MILLIS;

    /**
     * Time for which an entry that is not the home keeps collecting after a draw. A draw that was
     * lost makes another entry the home for a moment, which would take the credit from the home.
     */
    private static final long SUBSTITUTE_ACTIVE_MILLIS = 2 * COLLECT_INTERVAL_MILLIS;

    /**
     * Windows for which a number of entries is used after it was replaced by a lower one: longer
     * than partitions usually last, in which each side counts itself only.
     */
    private static final int HOLD_WINDOWS = 2;

    private final Map<String, WorkspaceCredit> credits = new HashMap<>();
    private final Set<String> pooled = new HashSet<>();
    private final CollectRounds rounds = new CollectRounds();
    private final Peers peers;
    private final EntryCount entryCount = new EntryCount();
    private long windowMillis = 1;
    private boolean isInitialCreditGiven;

    /**
     * Creates the accounts of a new process, without workspaces.
     *
     * @param self the address of this entry
     */
    public QuotaAccounts(String self) {
        peers = new Peers(self);
    }

    /**
     * Sets the configuration and the membership, at each change of either.
     *
     * <p>Lower limits take effect at once. Workspaces that are missing are forgotten, and begin
     * without credit if they come back. The first time that workspaces and the number of entries
     * are known, each workspace gets the initial credit of a new process.
     *
     * @param quotas the limits of the workspaces that have one
     * @param bounds how far the limits may be exceeded
     * @param entries the number of entries; empty if it is unknown, so that nothing accrues. It
     *     should be the number that may be running, not of those that are reachable
     * @param memberAddresses the addresses of the live entries
     * @param nowMillis the current time
     */
    public void configure(
            Map<String, TokenQuota> quotas,
            QuotaBounds bounds,
            OptionalInt entries,
            List<String> memberAddresses,
            long nowMillis) {
        windowMillis = bounds.windowMillis();
        entryCount.configure(
                entries.stream().filter(count -> count > 0).findAny(),
                HOLD_WINDOWS * windowMillis,
                nowMillis);
        peers.configure(memberAddresses);
        rounds.retain(peers.members());
        credits.keySet().retainAll(quotas.keySet());
        pooled.retainAll(quotas.keySet());
        int count = entryCount(nowMillis);
        quotas.forEach(
                (workspace, quota) -> {
                    CreditLimits limits = CreditLimits.of(quota, bounds);
                    WorkspaceCredit credit = credits.get(workspace);
                    if (credit == null) {
                        credits.put(workspace, new WorkspaceCredit(limits, count, nowMillis));
                    } else {
                        credit.configure(limits, count, nowMillis);
                    }
                });
        if (!isInitialCreditGiven && count > 0 && !credits.isEmpty()) {
            isInitialCreditGiven = true;
            credits.values().forEach(WorkspaceCredit::addInitial);
        }
    }

    /**
     * Spends credit for a request, or says what is missing.
     *
     * @param workspace the name of the workspace; one without a limit is always admitted
     * @param tokens the cost of the request
     * @param nowMillis the current time
     * @return whether the request is admitted. One that has waited for a draw is passed again
     * @throws IllegalArgumentException if the cost is negative or not finite
     */
    public Decision spend(String workspace, double tokens, long nowMillis) {
        requireAmount(tokens);
        WorkspaceCredit credit = refreshed(workspace, nowMillis);
        if (credit == null) {
            return Decision.ADMITTED;
        }
        if (credit.covers(tokens)) {
            credit.spendOwn(tokens);
            credit.recordDemand(tokens, nowMillis);
            return Decision.ADMITTED;
        }
        if (credit.drawInFlight().isPresent()) {
            return Decision.DRAW;
        }
        if (peers.isHome(workspace, nowMillis)) {
            return spendFromPool(workspace, credit, tokens, nowMillis);
        }
        long refusedMillis = credit.refusedMillis(tokens - credit.own(), nowMillis);
        if (refusedMillis == 0) {
            return Decision.DRAW;
        }
        credit.recordDemand(tokens, nowMillis);
        return rejected(credit, tokens, refusedMillis);
    }

    private Decision spendFromPool(
            String workspace, WorkspaceCredit credit, double tokens, long nowMillis) {
        credit.recordDemand(tokens, nowMillis);
        CreditPool pool = poolForUse(workspace, credit, nowMillis);
        double missing = tokens - credit.own();
        if (pool.take(missing, missing, nowMillis) > 0) {
            credit.spendOwn(credit.own());
            return Decision.ADMITTED;
        }
        return rejected(credit, tokens, creditAfterMillis(pool, missing, nowMillis));
    }

    private static Decision rejected(
            WorkspaceCredit credit, double tokens, long creditAfterMillis) {
        return Decision.rejected(
                Math.min(creditAfterMillis, credit.accrualMillis(tokens).orElse(Long.MAX_VALUE)));
    }

    /**
     * Returns the credit of a request that was admitted but never reached a server. What the local
     * bucket has no room for is lost. To be called soon after the request was admitted, as the
     * credit is as if it was new.
     *
     * @param workspace the name of the workspace
     * @param tokens the cost of the request
     * @param nowMillis the current time
     * @throws IllegalArgumentException if the cost is negative or not finite
     */
    public void refund(String workspace, double tokens, long nowMillis) {
        requireAmount(tokens);
        WorkspaceCredit credit = refreshed(workspace, nowMillis);
        if (credit != null) {
            credit.refund(tokens);
        }
    }

    /**
     * Begins a draw for a request for which {@link #spend} has returned {@code DRAW}, if no others
     * wait for one.
     *
     * @param workspace the name of the workspace
     * @param tokens the whole cost of the request
     * @param nowMillis the current time
     * @return as in {@link #nextDraw(String, double, double, long)}
     * @throws IllegalArgumentException if the cost is negative or not finite
     */
    public Optional<Draw> nextDraw(String workspace, double tokens, long nowMillis) {
        return nextDraw(workspace, tokens, tokens, nowMillis);
    }

    /**
     * Begins a draw for a request for which {@link #spend} has returned {@code DRAW}.
     *
     * @param workspace the name of the workspace
     * @param tokens the whole cost of the request
     * @param allTokens the cost of all requests of the workspace that wait for a draw, which may
     *     get credit with the same draw
     * @param nowMillis the current time
     * @return the draw to send; empty if one of the workspace is in flight, or if the request is to
     *     be spent again at once, as there is credit or this entry has become the home
     * @throws IllegalArgumentException if a cost is negative or not finite
     */
    public Optional<Draw> nextDraw(
            String workspace, double tokens, double allTokens, long nowMillis) {
        requireAmount(tokens);
        requireAmount(allTokens);
        WorkspaceCredit credit = refreshed(workspace, nowMillis);
        if (credit == null || credit.drawInFlight().isPresent() || credit.covers(tokens)) {
            return Optional.empty();
        }
        if (peers.isHome(workspace, nowMillis)) {
            return Optional.empty();
        }
        String home = peers.home(workspace, nowMillis);
        return Optional.of(credit.beginDraw(home, workspace, tokens, allTokens, nowMillis));
    }

    /**
     * Serves a draw of another entry; an entry does so whether or not it is the home in its view.
     *
     * @param workspace the name of the workspace
     * @param neededTokens what the other entry needs
     * @param wantedTokens the most that it takes
     * @param nowMillis the current time
     * @return the credit, which is subtracted; none if the workspace is unknown or the numbers are
     *     invalid
     */
    public DrawReply onDraw(
            String workspace, double neededTokens, double wantedTokens, long nowMillis) {
        WorkspaceCredit credit = refreshed(workspace, nowMillis);
        if (credit == null || !isAmount(neededTokens) || !isAmount(wantedTokens)) {
            return new DrawReply(0, COLLECT_INTERVAL_MILLIS);
        }
        CreditPool pool = poolForUse(workspace, credit, nowMillis);
        if (pool.balance() < neededTokens) {
            pool.add(credit.giveUp(), nowMillis, nowMillis);
        }
        double tokens = pool.take(neededTokens, wantedTokens, nowMillis);
        return tokens > 0
                ? new DrawReply(tokens, 0)
                : new DrawReply(0, creditAfterMillis(pool, neededTokens, nowMillis));
    }

    /**
     * Adds the credit of a reply. A reply to a draw that is no longer in flight is ignored.
     *
     * @param draw the draw
     * @param reply the reply
     * @param nowMillis the current time
     */
    public void onDrawReply(Draw draw, DrawReply reply, long nowMillis) {
        WorkspaceCredit credit = endDraw(draw, nowMillis);
        if (credit == null) {
            return;
        }
        peers.recordResponse(draw.home());
        double tokens =
                isAmount(reply.tokens()) ? Math.min(reply.tokens(), draw.wantedTokens()) : 0;
        credit.addDrawn(tokens, draw.sentMillis(), nowMillis);
        if (tokens < draw.neededTokens()) {
            long waitMillis =
                    Math.max(1, Math.min(MAXIMUM_REFUSED_MILLIS, reply.creditAfterMillis()));
            credit.refuseDraws(draw.neededTokens(), nowMillis + waitMillis);
        }
    }

    /**
     * Records that a draw got no reply in time. Its home is skipped for a while.
     *
     * @param draw the draw
     * @param nowMillis the current time
     */
    public void onDrawLost(Draw draw, long nowMillis) {
        if (endDraw(draw, nowMillis) != null) {
            peers.recordFailure(draw.home(), nowMillis);
        }
    }

    private WorkspaceCredit endDraw(Draw draw, long nowMillis) {
        WorkspaceCredit credit = refreshed(draw.workspace(), nowMillis);
        if (credit == null || !credit.drawInFlight().equals(Optional.of(draw))) {
            return null;
        }
        credit.endDraw();
        return credit;
    }

    /**
     * Begins a round of collections if a pool in use is low or could not serve a request, and the
     * last round is long enough ago.
     *
     * @param nowMillis the current time
     * @return the requests to send, at most one to each peer; empty if nothing is to be collected
     */
    public List<Collect> nextCollects(long nowMillis) {
        if (pooled.isEmpty() || !rounds.isDue(nowMillis)) {
            return List.of();
        }
        List<String> low = lowPools(nowMillis);
        return low.isEmpty() ? List.of() : rounds.begin(peers.usable(nowMillis), low, nowMillis);
    }

    private List<String> lowPools(long nowMillis) {
        List<String> low = new ArrayList<>();
        for (Iterator<String> workspaces = pooled.iterator(); workspaces.hasNext(); ) {
            String workspace = workspaces.next();
            WorkspaceCredit credit = refreshed(workspace, nowMillis);
            CreditPool pool = credit.poolForUse(nowMillis);
            long activeMillis =
                    peers.isHome(workspace, nowMillis)
                            ? Math.max(windowMillis, 2 * credit.limits().poolMillis())
                            : SUBSTITUTE_ACTIVE_MILLIS;
            if (pool.idleMillis(nowMillis) >= activeMillis) {
                if (pool.balance() <= 0) {
                    credit.dropPool();
                    workspaces.remove();
                }
            } else if (pool.needsCredit()) {
                low.add(workspace);
                pool.beginRound(nowMillis);
                if (!peers.isAlone()) {
                    pool.add(credit.giveUp(), nowMillis, nowMillis);
                }
            }
        }
        return List.copyOf(low);
    }

    /**
     * Gives up local credit to an entry that collects.
     *
     * @param workspaces the names of the workspaces
     * @param nowMillis the current time
     * @return the credit of those that have any, which is subtracted
     */
    public Map<String, Double> onCollect(List<String> workspaces, long nowMillis) {
        Map<String, Double> given = new HashMap<>();
        for (String workspace : workspaces) {
            WorkspaceCredit credit = refreshed(workspace, nowMillis);
            double tokens = credit == null ? 0 : credit.giveUp();
            if (tokens > 0) {
                given.put(workspace, tokens);
            }
        }
        return given;
    }

    /**
     * Adds the credit of a reply to the pools. A reply to a request that is no longer in flight is
     * ignored.
     *
     * @param collect the request
     * @param tokens the credit, by workspace
     * @param nowMillis the current time
     */
    public void onCollectReply(Collect collect, Map<String, Double> tokens, long nowMillis) {
        if (!rounds.recordReply(collect, nowMillis)) {
            return;
        }
        peers.recordResponse(collect.peer());
        int count = Math.max(1, entryCount(nowMillis));
        for (String workspace : collect.workspaces()) {
            WorkspaceCredit credit = refreshed(workspace, nowMillis);
            Double given = tokens.get(workspace);
            if (credit != null && given != null && isAmount(given)) {
                double accepted = Math.min(given, credit.limits().localCapTokens(count));
                credit.pool()
                        .ifPresent(pool -> pool.add(accepted, collect.sentMillis(), nowMillis));
            }
        }
    }

    /**
     * Records that a collection got no reply in time. The peer is skipped for a while.
     *
     * @param collect the request
     * @param nowMillis the current time
     */
    public void onCollectLost(Collect collect, long nowMillis) {
        if (rounds.recordLost(collect)) {
            peers.recordFailure(collect.peer(), nowMillis);
        }
    }

    /**
     * Returns the number of entries that limits are divided by, to be sent with each message.
     *
     * @param nowMillis the current time
     * @return the number; empty if it is unknown
     */
    public Optional<KnownEntryCount> knownEntryCount(long nowMillis) {
        return entryCount.get(nowMillis);
    }

    /**
     * Records the number that another entry has sent. A higher one than the own takes effect at
     * once, so that the shares of new entries do not add to those of entries that do not know them.
     *
     * @param known the number
     * @param nowMillis the current time
     */
    public void onKnownEntryCount(KnownEntryCount known, long nowMillis) {
        entryCount.hear(known, nowMillis);
    }

    /**
     * Returns the credit that this entry can spend without a draw, except for its pool.
     *
     * @param workspace the name of the workspace
     * @param nowMillis the current time
     * @return tokens; 0 for a workspace without a limit
     */
    public double localTokens(String workspace, long nowMillis) {
        WorkspaceCredit credit = refreshed(workspace, nowMillis);
        return credit == null ? 0 : credit.own();
    }

    /**
     * Returns the credit in this entry's pool.
     *
     * @param workspace the name of the workspace
     * @param nowMillis the current time
     * @return tokens, negative in debt; 0 if this entry has no pool for the workspace
     */
    public double poolTokens(String workspace, long nowMillis) {
        WorkspaceCredit credit = refreshed(workspace, nowMillis);
        return credit == null ? 0 : credit.pool().map(CreditPool::balance).orElse(0.0);
    }

    /**
     * Returns the credit that this entry had, or was sent, and lost: there was no room for it, it
     * was too old or a limit was lowered. Accrual to a full bucket does not count.
     *
     * @param workspace the name of the workspace
     * @return tokens since the workspace was configured; 0 for a workspace without a limit
     */
    public double lostTokens(String workspace) {
        WorkspaceCredit credit = credits.get(workspace);
        return credit == null ? 0 : credit.lost();
    }

    private WorkspaceCredit refreshed(String workspace, long nowMillis) {
        WorkspaceCredit credit = credits.get(workspace);
        if (credit != null) {
            credit.refresh(entryCount(nowMillis), nowMillis);
        }
        return credit;
    }

    private CreditPool poolForUse(String workspace, WorkspaceCredit credit, long nowMillis) {
        pooled.add(workspace);
        return credit.poolForUse(nowMillis);
    }

    private int entryCount(long nowMillis) {
        return entryCount.get(nowMillis).map(KnownEntryCount::entries).orElse(0);
    }

    private long creditAfterMillis(CreditPool pool, double neededTokens, long nowMillis) {
        double waitMillis = pool.refuse(neededTokens, rounds.nextMillis(nowMillis), nowMillis);
        return (long) Math.max(1, Math.min(windowMillis, Math.ceil(waitMillis)));
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
