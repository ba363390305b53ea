package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol;
import dev.foxtailshed.daemon.internal.direct.EngineControlClient.Reply;
import dev.foxtailshed.kernel.TimerService.Subscription;
import dev.foxtailshed.kernel.direct.AdmissionQueue;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Claim;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Enqueued;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;
import dev.foxtailshed.kernel.direct.DecodeServerSelector;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.direct.EngineSpec;
import dev.foxtailshed.kernel.direct.ReservationCalls;
import dev.foxtailshed.kernel.direct.ReservationSizer;
import dev.foxtailshed.kernel.direct.StageChangeTracker;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Reserves decode capacity of one service for the requests of this entry, through a single queue.
 *
 * <p>Only the request at the head of the queue calls a server, so that waiting requests do not
 * multiply the calls, and only once a prefill server has room for its prompt. The queue is
 * processed when a prefill ends, when a request of this entry arrives or ends, and periodically,
 * since other entries free capacity too. Runs on the entry's loop.
 */
final class DecodeReservations {

    /**
     * Reservation calls in flight at once; enough to fill an idle pool, few enough to keep the
     * order of the queue.
     */
    private static final int MAXIMUM_CALLS_IN_FLIGHT = 4;

    /**
     * Time without a reply after which another server is asked, where workspaces compete. Replies
     * take a few milliseconds; an entry may itself be paused for a tenth of a second by its share
     * of the processor.
     */
    private static final long STALL_MILLIS = 150;

    private final DirectContext context;
    private final EngineControlClient controlClient;
    private final String service;
    private final DecodeServerSelector serverSelector;
    private final ReservationSizer sizer;
    private final StageChangeTracker stageChanges;
    private final AdmissionQueue<ModelFlow> queue = new AdmissionQueue<>();
    private final ReservationCalls<ModelFlow> calls = new ReservationCalls<>(queue);

    DecodeReservations(
            DirectContext context,
            EngineControlClient controlClient,
            String service,
            DecodeServerSelector serverSelector,
            ReservationSizer sizer,
            StageChangeTracker stageChanges) {
        this.context = context;
        this.controlClient = controlClient;
        this.service = service;
        this.serverSelector = serverSelector;
        this.sizer = sizer;
        this.stageChanges = stageChanges;
    }

    /**
     * Capacity that a request holds at a decode server.
     *
     * @param server the decode server
     * @param id the reservation's id, empty if the service's servers do not support reservations
     * @param tokens the reserved tokens
     */
    record Reservation(DirectServer server, Optional<String> id, long tokens) {}

    /**
     * Adds a request to the queue; returns empty if it cannot be served in time or at all. Refuses
     * queued requests that can no longer be served in time because the new one comes before them.
     */
    Optional<Waiter<ModelFlow>> enqueue(ModelFlow flow, Claim claim) {
        long nowMillis = context.timer().nowMillis();
        boolean tooLarge = engineSpec().filter(e -> claim.tokens() > e.kvCacheTokens()).isPresent();
        if (tooLarge || context.view().servers().decodeCapable(service).isEmpty()) {
            return Optional.empty();
        }
        Enqueued<ModelFlow> enqueued = queue.enqueue(flow, claim, nowMillis);
        enqueued.rejected().forEach(ModelFlow::onWaitExpired);
        processQueue();
        return enqueued.waiter();
    }

    void removeWaiter(Waiter<ModelFlow> waiter) {
        queue.remove(waiter);
    }

    /**
     * Reserves again at the server that has refused the request, since no other server may get it.
     */
    void reserveAgain(ModelFlow flow, DirectServer server) {
        long tokens = flow.tokensToReserve();
        controlClient.send(
                server,
                context.platform()
                        .serverProtocol()
                        .newReserveCall(tokens, flow.reservationMillis()),
                reply -> {
                    Optional<String> id = reservationId(reply);
                    if (id.isEmpty()) {
                        flow.onWaitExpired();
                        return;
                    }
                    serverSelector.recordReservation(server, tokens);
                    grant(flow, new Reservation(server, id, tokens));
                });
    }

    private void grant(ModelFlow flow, Reservation reservation) {
        if (flow.isFinished()) {
            release(reservation);
        } else {
            flow.onReserved(reservation);
        }
    }

    /** Releases an unused reservation. */
    void release(Reservation reservation) {
        recordRelease(reservation);
        if (reservation.id().isEmpty()) {
            processQueue();
            return;
        }
        controlClient.send(
                reservation.server(),
                context.platform()
                        .serverProtocol()
                        .newReleaseReservationCall(reservation.id().get()),
                reply -> processQueue());
    }

    private void recordRelease(Reservation reservation) {
        if (queue.isYielding()) {
            serverSelector.recordYieldedRelease(reservation.server(), reservation.tokens());
        } else {
            serverSelector.recordRelease(reservation.server(), reservation.tokens());
        }
    }

    /** Records that the request which used a reservation has ended. */
    void recordRequestEnd(Reservation reservation) {
        recordRelease(reservation);
        processQueue();
    }

    /** Records that a server refused a run for which it had granted a reservation. */
    void recordRunRefusal(DirectServer server) {
        serverSelector.recordRunRefusal(server, context.timer().nowMillis());
    }

    /** Records that a server has started to run a request. */
    void recordRunStart(DirectServer server) {
        serverSelector.recordRunStart(server);
    }

    /** Returns whether a server has refused several runs in a row. */
    boolean isRefusingRuns(DirectServer server) {
        return serverSelector.isRefusingRuns(server);
    }

    /** Processes the queue because a prefill server may have room for another prompt. */
    void onPrefillEnd() {
        processQueue();
    }

    /** Refuses the requests whose waiting time has expired and processes the queue. */
    void tick() {
        List<ModelFlow> expired = queue.removeExpired(context.timer().nowMillis());
        expired.forEach(ModelFlow::onWaitExpired);
        processQueue();
    }

    long drainMillis() {
        return queue.drainMillis();
    }

    int queueLength() {
        return queue.size();
    }

    /** Discards the state of removed servers; refuses the queued requests if none is left. */
    void retain(List<DirectServer> usable) {
        serverSelector.retain(usable);
        if (context.view().servers().decodeCapable(service).isEmpty()) {
            queue.removeAll().forEach(ModelFlow::onNoServer);
        }
    }

    private void processQueue() {
        long nowMillis = context.timer().nowMillis();
        while (calls.underWay() < MAXIMUM_CALLS_IN_FLIGHT && queue.peek().isPresent()) {
            List<DirectServer> servers =
                    context.rateLimits()
                            .withCapacity(
                                    stageChanges.withoutAnnounced(
                                            context.view().servers().decodeCapable(service),
                                            nowMillis),
                                    nowMillis);
            Waiter<ModelFlow> waiter = queue.peek().get();
            Optional<DirectServer> server =
                    serverSelector.choose(
                            servers,
                            Set.of(),
                            context.health(),
                            waiter.item().isUrgent(),
                            nowMillis);
            if (server.isEmpty()) {
                return;
            }
            if (!waiter.item().claimPrefill()) {
                return;
            }
            reserve(calls.start(waiter), server.get());
        }
    }

    /** A request whose reservation at a server is under way. */
    private static final class PendingCall {
        private final ReservationCalls.Call<ModelFlow> call;
        private final DirectServer server;
        private Optional<Subscription> stallTimer = Optional.empty();

        PendingCall(ReservationCalls.Call<ModelFlow> call, DirectServer server) {
            this.call = call;
            this.server = server;
        }

        Waiter<ModelFlow> waiter() {
            return call.waiter();
        }

        ModelFlow flow() {
            return call.waiter().item();
        }

        void cancelStallTimer() {
            stallTimer.ifPresent(Subscription::cancel);
        }
    }

    /**
     * Returns a request to the queue whose server does not reply, so that it and the requests
     * behind it need not wait for the timeout. A reservation that is granted later is released.
     */
    private void abandon(PendingCall pending) {
        if (endUnserved(pending)) {
            processQueue();
        }
    }

    /** Ends a call without a reservation; returns false if it had ended before. */
    private boolean endUnserved(PendingCall pending) {
        ModelFlow flow = pending.flow();
        boolean ended =
                flow.isFinished() ? calls.end(pending.call) : calls.endAndRequeue(pending.call);
        if (ended) {
            flow.releasePrefillClaim();
        }
        return ended;
    }

    /** Ends a call that was abandoned; its request is elsewhere by now. */
    private void onLateReply(PendingCall pending, Reply reply) {
        long nowMillis = context.timer().nowMillis();
        serverSelector.recordNoResponse(pending.server);
        if (!reply.hasResponse()) {
            context.health().get(pending.server).recordNoResponse(nowMillis);
        }
        reservationId(reply)
                .ifPresent(
                        id ->
                                controlClient.send(
                                        pending.server,
                                        context.platform()
                                                .serverProtocol()
                                                .newReleaseReservationCall(id),
                                        released -> processQueue()));
    }

    private void reserve(ReservationCalls.Call<ModelFlow> call, DirectServer server) {
        serverSelector.recordReservationRequest(server);
        PendingCall pending = new PendingCall(call, server);
        ModelFlow flow = pending.flow();
        if (flow.competesWithWorkspaces()) {
            pending.stallTimer =
                    Optional.of(context.schedule(STALL_MILLIS, () -> abandon(pending)));
        }
        if (!supportsReservations()) {
            onGranted(pending, Optional.empty(), flow.tokensToReserve());
        } else if (flow.isUrgent() && !pending.waiter().isLate()) {
            // The others leave capacity spare, in which an urgent request finds room.
            sendReserveCall(pending);
        } else {
            reserveWithSpareCapacity(pending);
        }
    }

    private void sendReserveCall(PendingCall pending) {
        ModelFlow flow = pending.flow();
        long tokens = flow.tokensToReserve();
        controlClient.send(
                pending.server,
                context.platform()
                        .serverProtocol()
                        .newReserveCall(tokens, flow.reservationMillis()),
                reply -> onReply(pending, tokens, reply));
    }

    /**
     * Reserves more than the request needs, then replaces this by a reservation of the needed size,
     * so that the request is admitted only where enough capacity stays free.
     */
    private void reserveWithSpareCapacity(PendingCall pending) {
        ModelFlow flow = pending.flow();
        ServerProtocol protocol = context.platform().serverProtocol();
        controlClient.send(
                pending.server,
                protocol.newReserveCall(
                        flow.tokensToReserve()
                                + spareTokens(flow.tokensToReserve(), pending.waiter().isLate()),
                        flow.reservationMillis()),
                reply -> {
                    Optional<String> id = reservationId(reply);
                    if (id.isEmpty() || pending.call.hasEnded()) {
                        onReply(pending, 0, reply);
                        return;
                    }
                    controlClient.send(
                            pending.server,
                            protocol.newReleaseReservationCall(id.get()),
                            released -> sendReserveCall(pending));
                });
    }

    private long spareTokens(long tokens, boolean late) {
        return engineSpec().map(e -> sizer.spareTokens(tokens, late, e.kvCacheTokens())).orElse(0L);
    }

    private boolean supportsReservations() {
        return engineSpec().filter(e -> e.reservationLimitMillis() > 0).isPresent();
    }

    private Optional<EngineSpec> engineSpec() {
        return context.view()
                .routes()
                .flatMap(routes -> routes.service(service))
                .flatMap(DirectService::engine);
    }

    private Optional<String> reservationId(Reply reply) {
        return reply.isSuccess()
                ? context.platform().serverProtocol().parseReservationId(reply.body())
                : Optional.empty();
    }

    private void onReply(PendingCall pending, long tokens, Reply reply) {
        pending.cancelStallTimer();
        if (pending.call.hasEnded()) {
            onLateReply(pending, reply);
            return;
        }
        Optional<String> id = reservationId(reply);
        if (id.isPresent()) {
            onGranted(pending, id, tokens);
            processQueue();
            return;
        }
        Waiter<ModelFlow> waiter = pending.waiter();
        DirectServer server = pending.server;
        long nowMillis = context.timer().nowMillis();
        serverSelector.recordRefusal(
                server, queue.demand(waiter), waiter.item().isUrgent(), nowMillis);
        if (!reply.hasResponse()) {
            context.health().get(server).recordNoResponse(nowMillis);
        }
        endUnserved(pending);
        processQueue();
    }

    private void onGranted(PendingCall pending, Optional<String> id, long tokens) {
        pending.cancelStallTimer();
        calls.end(pending.call);
        serverSelector.recordReservation(pending.server, tokens);
        if (!pending.flow().isFinished()) {
            queue.recordGrant(context.timer().nowMillis());
        }
        grant(pending.flow(), new Reservation(pending.server, id, tokens));
    }
}
