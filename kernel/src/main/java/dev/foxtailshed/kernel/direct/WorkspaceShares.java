package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.AdmissionQueue.Claim;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Shares the capacity that an entry gets among its workspaces, by start-time fair queueing, and
 * gives turns to those that would starve.
 *
 * <p>A level has all requests of one urgency, a flow those of one workspace in a level. The
 * requests of a flow get consecutive start tags, each greater than the previous one by the tokens
 * of that request, and the lowest tag of a level is served next. A flow that was idle starts at the
 * level's virtual time, the tag that was served last, so that idleness earns nothing and costs
 * nothing. A request that ends unserved does not count.
 *
 * <p>All workspaces have the same weight. A workspace's limit would be the alternative, but limits
 * bound what a workspace may use over a window, are enforced before requests are queued, and may be
 * absent; weights by demand would reward those who send the most.
 *
 * <p>Equal shares of a scarce capacity may starve a large workspace, and strict urgency whatever is
 * less urgent. Each arrival therefore adds to what is due to its flow and to its level, {@link
 * #TURN_SHARE} of what requests of this size get on average; service reduces it. A turn is due as
 * soon as this makes up a request. Where no flow or level is served much more rarely than all
 * requests are, there are no turns. Not thread-safe.
 */
final class WorkspaceShares {

    /**
     * The rate of service below which turns are given, as a share of the rate at which all requests
     * are served. No workspace and no route may get a quarter or less; the margin covers the
     * requests that precede the first turn.
     */
    private static final double TURN_SHARE = 0.4;

    /** Weight of the newest arrival in the rate of service: averages about the last eight. */
    private static final double SAMPLE_WEIGHT = 0.125;

    /**
     * Time after its last request at which a flow is forgotten, as a multiple of how long that
     * could wait. Requests that competed with it have left the queue by then; several times as
     * long, since rare requests must add up to a turn too.
     */
    private static final int REMEMBERED_WAITS = 8;

    /** Period between two removals of idle flows, each of which visits all flows. */
    private static final long CLEANUP_PERIOD_MILLIS = 1_000;

    private final Map<LevelKey, Level> levels = new HashMap<>();
    private final Map<FlowKey, Flow> flows = new HashMap<>();
    private int workspaceFlows;
    private int lessUrgentWorkspaceFlows;
    private int waitingFlows;
    private double arrivedTokens;
    private double servedTokens;
    private long nextCleanupMillis = Long.MIN_VALUE;

    private record LevelKey(boolean late, int priority) {
        boolean isLessUrgent() {
            return !late && priority > 0;
        }
    }

    private record FlowKey(LevelKey level, Optional<String> workspace) {}

    /** Tokens of service that are due to a flow or a level. */
    private static final class Account {
        private double dueTokens;

        /** Charges a request; returns the change, since only one request may be paid ahead. */
        double charge(long tokens) {
            double before = dueTokens;
            dueTokens = Math.min(before, Math.max(-tokens, before - tokens));
            return before - dueTokens;
        }
    }

    /** The requests of one urgency. */
    private static final class Level {
        private final Account account = new Account();
        private long virtualTime;
    }

    /** The requests of one workspace in one level. */
    static final class Flow {
        private final FlowKey key;
        private final Level level;
        private final Account account = new Account();
        private long nextTag;
        private int waiting;
        private long forgetAtMillis;

        private Flow(FlowKey key, Level level) {
            this.key = key;
            this.level = level;
        }

        /**
         * Flows without a workspace are never idle: there is one for each level, and their order
         * must not change.
         */
        private boolean isIdle(long nowMillis) {
            return key.workspace().isPresent() && waiting == 0 && forgetAtMillis < nowMillis;
        }

        boolean isSameLevel(Flow other) {
            return level == other.level;
        }
    }

    /**
     * What a request has been charged.
     *
     * @param flowTokens the tokens charged to its flow
     * @param levelTokens the tokens charged to its level
     */
    record Charge(double flowTokens, double levelTokens) {}

    /** Returns whether workspaces compete, or have competed recently. */
    boolean hasWorkspaces() {
        return workspaceFlows > 0;
    }

    /** Returns the number of flows that have requests waiting, with one that may have none. */
    int waitingFlowsWith(Flow flow) {
        return waitingFlows + (flow.waiting == 0 ? 1 : 0);
    }

    /**
     * Returns whether workspaces have recently sent requests in time of less than highest urgency.
     */
    boolean hasLessUrgentWorkspaces() {
        return lessUrgentWorkspaceFlows > 0;
    }

    /** Returns the flow of a request, and forgets idle ones. */
    Flow flow(Claim claim, long nowMillis) {
        long waitMillis = Math.max(0, claim.giveUpMillis() - nowMillis);
        if (nowMillis >= nextCleanupMillis) {
            nextCleanupMillis = nowMillis + CLEANUP_PERIOD_MILLIS;
            forgetIdle(nowMillis);
        }
        LevelKey level = new LevelKey(claim.late(), claim.priority());
        Flow flow = flows.computeIfAbsent(new FlowKey(level, claim.workspace()), this::newFlow);
        flow.forgetAtMillis =
                Math.max(flow.forgetAtMillis, nowMillis + REMEMBERED_WAITS * waitMillis);
        return flow;
    }

    private Flow newFlow(FlowKey key) {
        countWorkspaceFlow(key, 1);
        return new Flow(key, levels.computeIfAbsent(key.level(), unused -> new Level()));
    }

    private void countWorkspaceFlow(FlowKey key, int change) {
        if (key.workspace().isPresent()) {
            workspaceFlows += change;
            lessUrgentWorkspaceFlows += key.level().isLessUrgent() ? change : 0;
        }
    }

    private void forgetIdle(long nowMillis) {
        List<FlowKey> idle =
                flows.values().stream()
                        .filter(flow -> flow.isIdle(nowMillis))
                        .map(flow -> flow.key)
                        .toList();
        idle.forEach(key -> countWorkspaceFlow(key, -1));
        idle.forEach(flows::remove);
    }

    /** Returns the start tag of a request that is added to a flow. */
    long assignTag(Flow flow, long tokens) {
        long tag = Math.max(flow.nextTag, flow.level.virtualTime);
        flow.nextTag = tag + tokens;
        return tag;
    }

    /** Returns a start tag of a flow after a request before it has ended unserved. */
    long tagWithout(Flow flow, long tag, long tokens) {
        return Math.min(tag, Math.max(flow.level.virtualTime, tag - tokens));
    }

    /** Records that a request of a flow has ended unserved. */
    void recordUnserved(Flow flow, long tokens) {
        flow.nextTag = tagWithout(flow, flow.nextTag, tokens);
    }

    void recordWaiting(Flow flow) {
        waitingFlows += flow.waiting == 0 ? 1 : 0;
        flow.waiting++;
    }

    void recordNotWaiting(Flow flow) {
        flow.waiting--;
        waitingFlows -= flow.waiting == 0 ? 1 : 0;
    }

    /** Records the arrival of a request that can still be in time. */
    void recordArrival(Flow flow, long tokens) {
        arrivedTokens += SAMPLE_WEIGHT * (tokens - arrivedTokens);
        servedTokens -= SAMPLE_WEIGHT * servedTokens;
        double servedShare = Math.min(1, servedTokens / Math.max(1, arrivedTokens));
        flow.account.dueTokens += TURN_SHARE * servedShare * tokens;
        flow.level.account.dueTokens += TURN_SHARE * servedShare * tokens;
    }

    /** Records that a request in time gets capacity, or does so after all if negative. */
    void recordServed(long tokens) {
        servedTokens = Math.max(0, servedTokens + SAMPLE_WEIGHT * tokens);
    }

    /** Moves the virtual time of a flow's level to a request that is served in its order. */
    void advance(Flow flow, long tag) {
        flow.level.virtualTime = Math.max(flow.level.virtualTime, tag);
    }

    boolean isTurnDueToFlow(Flow flow, long tokens) {
        return flow.account.dueTokens >= tokens;
    }

    boolean isTurnDueToLevel(Flow flow, long tokens) {
        return flow.level.account.dueTokens >= tokens;
    }

    /** Charges a request, with the turn that it gets or when it gets capacity. */
    Charge charge(Flow flow, long tokens) {
        return new Charge(flow.account.charge(tokens), flow.level.account.charge(tokens));
    }

    void refund(Flow flow, Charge charge) {
        flow.account.dueTokens += charge.flowTokens();
        flow.level.account.dueTokens += charge.levelTokens();
    }
}
