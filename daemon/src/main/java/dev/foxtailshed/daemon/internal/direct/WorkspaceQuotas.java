package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.direct.CreditMessages.DrawRequest;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.direct.RouteTable;
import dev.foxtailshed.kernel.direct.quota.Collect;
import dev.foxtailshed.kernel.direct.quota.Decision;
import dev.foxtailshed.kernel.direct.quota.Draw;
import dev.foxtailshed.kernel.direct.quota.DrawReply;
import dev.foxtailshed.kernel.direct.quota.KnownEntryCount;
import dev.foxtailshed.kernel.direct.quota.QuotaAccounts;
import dev.foxtailshed.kernel.direct.quota.QuotaBounds;
import dev.foxtailshed.kernel.direct.quota.TokenQuota;
import dev.foxtailshed.kernel.direct.workspace.Workspace;
import dev.foxtailshed.kernel.direct.workspace.WorkspaceTable;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.eclipse.jetty.client.HttpClient;

/**
 * Admits requests within their workspaces' quotas, and obtains credit from other entries for them.
 *
 * <p>A request for which there is no credit waits in the order of arrival of its workspace's
 * requests, for a limited time; it is rejected at once if credit is not expected within that time.
 * Other workspaces are not affected. Runs on the entry's loop.
 */
final class WorkspaceQuotas implements CreditExchange.Account {

    /** Period in which waiting requests are checked; a fraction of any latency objective. */
    private static final long TICK_MILLIS = 20;

    /** Part of the latency objective that a request may wait for credit. */
    private static final long OBJECTIVE_DIVISOR = 2;

    /**
     * Time of one round of collections. An estimate within it depends on when the next round comes,
     * which may be sooner, so that a request is not rejected because of it alone.
     */
    private static final long ROUND_MILLIS = 600;

    /** Part of the time until its deadline that a request may wait after the entry's start. */
    private static final long DEADLINE_DIVISOR = 2;

    /**
     * Time after the start in which requests wait for longer: a new process has hardly any credit,
     * and when all entries start together, callers that wait for them use up what there is for
     * several rounds of collections.
     */
    private static final long START_MILLIS = 6_000;

    private static final long START_WAIT_MILLIS = 2_500;

    private static final Deque<Waiter> NONE = new ArrayDeque<>();

    private final TimerService timer;
    private final SerialExecutor loop;
    private final QuotaAccounts accounts;
    private final CreditExchange exchange;
    private final Supplier<Configuration> configuration;
    private final QuotaRecorder recorder;
    private final Map<String, Deque<Waiter>> waiters = new HashMap<>();
    private Optional<Configuration> current = Optional.empty();
    private OptionalLong firstMillis = OptionalLong.empty();

    /**
     * What the quotas depend on.
     *
     * @param routes the routes and workspaces in force
     * @param bounds how far the quotas may be exceeded
     * @param entryCount the number of live entries, if it is known
     * @param members the control addresses of the live entries, with this one
     */
    record Configuration(
            Optional<RouteTable> routes,
            QuotaBounds bounds,
            OptionalInt entryCount,
            List<String> members) {

        /** Returns the quotas of the workspaces that have one. */
        Map<String, TokenQuota> quotas() {
            return routes.flatMap(RouteTable::workspaces)
                    .map(WorkspaceTable::quotas)
                    .orElse(Map.of());
        }

        /** Returns whether another configuration has the same routes, bounds and members. */
        boolean isSame(Configuration other) {
            return routes.map(RouteTable::version).equals(other.routes.map(RouteTable::version))
                    && bounds.equals(other.bounds)
                    && entryCount.equals(other.entryCount)
                    && members.equals(other.members);
        }
    }

    /** A request that waits for credit. */
    final class Waiter {
        private final String workspace;
        private final double tokens;
        private final long arrivedMillis;
        private final long expiryMillis;
        private final Runnable admitted;
        private final LongConsumer rejected;

        private Waiter(
                Workspace workspace,
                double tokens,
                long waitMillis,
                Runnable admitted,
                LongConsumer rejected) {
            this.workspace = workspace.name();
            this.tokens = tokens;
            this.arrivedMillis = timer.nowMillis();
            this.expiryMillis = arrivedMillis + waitMillis;
            this.admitted = admitted;
            this.rejected = rejected;
        }

        /** Stops waiting, without a call back. */
        void cancel() {
            Deque<Waiter> queue = waiters.get(workspace);
            if (queue != null) {
                queue.remove(this);
            }
        }
    }

    WorkspaceQuotas(
            TimerService timer,
            SerialExecutor loop,
            HttpClient httpClient,
            String self,
            Supplier<Configuration> configuration,
            QuotaRecorder recorder) {
        this.timer = timer;
        this.loop = loop;
        this.accounts = new QuotaAccounts(self);
        this.exchange = new CreditExchange(httpClient, loop, this);
        this.configuration = configuration;
        this.recorder = recorder;
    }

    void start() {
        timer.every(TICK_MILLIS, () -> loop.executeOrEnqueue(this::tick));
    }

    /** Returns the endpoint that answers other entries. */
    CreditExchange exchange() {
        return exchange;
    }

    /** Applies the current configuration, so that the next requests are subject to it. */
    void configure() {
        Configuration next = configuration.get();
        if (current.isPresent() && current.get().isSame(next)) {
            return;
        }
        current = Optional.of(next);
        if (firstMillis.isEmpty() && next.entryCount().isPresent()) {
            firstMillis = OptionalLong.of(timer.nowMillis());
        }
        accounts.configure(
                next.quotas(), next.bounds(), next.entryCount(), next.members(), timer.nowMillis());
    }

    /**
     * Admits a request as soon as its workspace has credit for it, possibly before this returns.
     *
     * @param workspace the workspace
     * @param tokens the request's cost
     * @param objectiveMillis the latency objective of the request
     * @param remainingMillis the time until its deadline
     * @param admitted continues with the request, whose cost is spent
     * @param rejected receives the time in milliseconds after which there may be credit
     * @return the waiting request, if it waits
     */
    Optional<Waiter> admit(
            Workspace workspace,
            double tokens,
            long objectiveMillis,
            long remainingMillis,
            Runnable admitted,
            LongConsumer rejected) {
        long waitMillis = waitMillis(objectiveMillis, remainingMillis);
        Waiter waiter = new Waiter(workspace, tokens, waitMillis, admitted, rejected);
        Deque<Waiter> queue = waiters.computeIfAbsent(workspace.name(), name -> new ArrayDeque<>());
        queue.add(waiter);
        process(workspace.name());
        return queue.contains(waiter) ? Optional.of(waiter) : Optional.empty();
    }

    private long waitMillis(long objectiveMillis, long remainingMillis) {
        long usualMillis = objectiveMillis / OBJECTIVE_DIVISOR;
        if (timer.nowMillis() - firstMillis.orElse(timer.nowMillis()) > START_MILLIS) {
            return usualMillis;
        }
        long startMillis = Math.min(START_WAIT_MILLIS, remainingMillis / DEADLINE_DIVISOR);
        return Math.max(usualMillis, startMillis);
    }

    /** Returns the cost of a request that has not reached a server. */
    void refund(Workspace workspace, double tokens) {
        accounts.refund(workspace.name(), tokens, timer.nowMillis());
        recorder.recordRefund(workspace.name(), tokens);
    }

    /**
     * Decides on the waiting requests of a workspace, in order of arrival. A request that costs no
     * more than what is there does not wait behind a larger one, whose credit has to be drawn.
     */
    private void process(String workspace) {
        for (Waiter waiter : List.copyOf(waiters.getOrDefault(workspace, NONE))) {
            Deque<Waiter> queue = waiters.get(workspace);
            // A request that was admitted or rejected may have cancelled others.
            if (queue != null && queue.contains(waiter)) {
                decide(waiter, queue);
            }
        }
        if (waiters.getOrDefault(workspace, NONE).isEmpty()) {
            waiters.remove(workspace);
        }
    }

    private void decide(Waiter waiter, Deque<Waiter> queue) {
        long nowMillis = timer.nowMillis();
        Decision decision = accounts.spend(waiter.workspace, waiter.tokens, nowMillis);
        switch (decision.outcome()) {
            case ADMITTED -> {
                queue.remove(waiter);
                recorder.recordAdmission(
                        waiter.workspace, waiter.tokens, nowMillis - waiter.arrivedMillis);
                waiter.admitted.run();
            }
            case DRAW -> {
                if (nowMillis < waiter.expiryMillis) {
                    draw(waiter, nowMillis);
                } else {
                    reject(waiter, queue, 0);
                }
            }
            case REJECTED -> {
                long leftMillis = waiter.expiryMillis - nowMillis;
                boolean isHopeless =
                        decision.creditAfterMillis() > Math.max(leftMillis, ROUND_MILLIS);
                collect();
                if (leftMillis <= 0 || isHopeless) {
                    reject(waiter, queue, decision.creditAfterMillis());
                }
            }
            default -> throw new IllegalStateException("outcome " + decision.outcome());
        }
    }

    private void reject(Waiter waiter, Deque<Waiter> queue, long creditAfterMillis) {
        queue.remove(waiter);
        recorder.recordRejection(waiter.workspace, waiter.tokens, creditAfterMillis);
        waiter.rejected.accept(creditAfterMillis);
    }

    private void draw(Waiter waiter, long nowMillis) {
        double allTokens =
                waiters.get(waiter.workspace).stream().mapToDouble(other -> other.tokens).sum();
        Optional<Draw> draw =
                accounts.nextDraw(
                        waiter.workspace,
                        waiter.tokens,
                        Math.max(waiter.tokens, allTokens),
                        nowMillis);
        draw.ifPresent(sent -> exchange.send(sent, reply -> onDrawReply(sent, reply)));
    }

    private void onDrawReply(Draw draw, Optional<DrawReply> reply) {
        long nowMillis = timer.nowMillis();
        recorder.recordDraw(reply.map(DrawReply::tokens));
        if (reply.isPresent()) {
            accounts.onDrawReply(draw, reply.get(), nowMillis);
        } else {
            accounts.onDrawLost(draw, nowMillis);
        }
        process(draw.workspace());
    }

    private void onCollectReply(Collect collect, Optional<Map<String, Double>> reply) {
        long nowMillis = timer.nowMillis();
        recorder.recordCollection(reply.isPresent());
        if (reply.isPresent()) {
            accounts.onCollectReply(collect, reply.get(), nowMillis);
        } else {
            accounts.onCollectLost(collect, nowMillis);
        }
        collect.workspaces().forEach(this::process);
    }

    private void collect() {
        for (Collect collect : accounts.nextCollects(timer.nowMillis())) {
            exchange.send(collect, reply -> onCollectReply(collect, reply));
        }
    }

    private void tick() {
        configure();
        List.copyOf(waiters.keySet()).forEach(this::process);
        collect();
    }

    @Override
    public DrawReply onDraw(DrawRequest request) {
        DrawReply reply =
                accounts.onDraw(
                        request.workspace(),
                        request.neededTokens(),
                        request.wantedTokens(),
                        timer.nowMillis());
        if (reply.tokens() <= 0) {
            collect();
        }
        return reply;
    }

    @Override
    public Optional<KnownEntryCount> knownEntryCount() {
        return accounts.knownEntryCount(timer.nowMillis());
    }

    @Override
    public void onKnownEntryCount(KnownEntryCount known) {
        accounts.onKnownEntryCount(known, timer.nowMillis());
    }

    @Override
    public Map<String, Double> onCollect(List<String> workspaces) {
        return accounts.onCollect(workspaces, timer.nowMillis());
    }
}
