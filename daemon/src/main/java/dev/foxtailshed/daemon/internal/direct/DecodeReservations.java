package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol;
import dev.foxtailshed.daemon.internal.direct.EngineControlClient.Reply;
import dev.foxtailshed.kernel.direct.AdmissionQueue;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;
import dev.foxtailshed.kernel.direct.DecodeServerSelector;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.direct.EngineSpec;
import dev.foxtailshed.kernel.direct.ReservationSizer;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Reserves decode capacity of one service for the requests of this entry, one queue for all.
 *
 * <p>Only the first in the queue asks a server, so waiting requests do not multiply calls, and only
 * once a prefill server has room for its prompt. The queue moves when a prompt was read, when a
 * request of this entry ends or arrives, and on a short tick for capacity that other entries free.
 * Runs on the entry's loop.
 */
final class DecodeReservations {

    /** Reservations asked for at once: enough to fill an idle pool, few enough to stay in order. */
    private static final int MAXIMUM_ASKING = 4;

    private final DirectContext context;
    private final EngineControlClient control;
    private final String service;
    private final DecodeServerSelector capacity;
    private final ReservationSizer size = new ReservationSizer();
    private final AdmissionQueue<ModelFlow> queue = new AdmissionQueue<>();
    private int asking;

    DecodeReservations(
            DirectContext context,
            EngineControlClient control,
            String service,
            DecodeServerSelector capacity) {
        this.context = context;
        this.control = control;
        this.service = service;
        this.capacity = capacity;
    }

    /**
     * Capacity that a request holds at a decode server.
     *
     * @param server the server
     * @param id the reservation's id, absent where servers take none
     * @param tokens the tokens reserved
     */
    record Reservation(DirectServer server, Optional<String> id, long tokens) {}

    /** Lets a request wait; empty if it cannot be served in time, or not at all. */
    Optional<Waiter<ModelFlow>> join(
            ModelFlow flow, int priority, boolean late, long giveUpMillis) {
        long nowMillis = context.timer().nowMillis();
        boolean tooLarge =
                engine().filter(e -> flow.tokensToReserve() > e.kvCacheTokens()).isPresent();
        if (tooLarge || context.view().servers().generating(service).isEmpty()) {
            return Optional.empty();
        }
        Optional<Waiter<ModelFlow>> waiter =
                queue.enqueue(flow, priority, late, giveUpMillis, nowMillis);
        pump();
        return waiter;
    }

    void leave(Waiter<ModelFlow> waiter) {
        queue.remove(waiter);
    }

    /** Reserves at the server that has refused the request, as no other one may get it. */
    void reserveAgain(ModelFlow flow, DirectServer server) {
        long tokens = flow.tokensToReserve();
        control.send(
                server,
                context.platform().servers().reserve(tokens, flow.reservationMillis()),
                reply -> {
                    Optional<String> id = reservationId(reply);
                    if (id.isEmpty()) {
                        flow.waitTimeExpired();
                        return;
                    }
                    capacity.recordReservation(server, tokens);
                    grant(flow, new Reservation(server, id, tokens));
                });
    }

    private void grant(ModelFlow flow, Reservation reservation) {
        if (flow.isFinished()) {
            giveBack(reservation);
        } else {
            flow.reserved(reservation);
        }
    }

    /** Gives an unused reservation back. */
    void giveBack(Reservation reservation) {
        capacity.recordRelease(reservation.server(), reservation.tokens());
        if (reservation.id().isEmpty()) {
            pump();
            return;
        }
        control.send(
                reservation.server(),
                context.platform().servers().releaseReservation(reservation.id().get()),
                reply -> pump());
    }

    /** Notes that the request which used a reservation has ended. */
    void ended(Reservation reservation) {
        capacity.recordRelease(reservation.server(), reservation.tokens());
        pump();
    }

    /** Notes that a server refused the run for which it had granted a reservation. */
    void recordRunRefusal(DirectServer server) {
        capacity.recordRunRefusal(server, context.timer().nowMillis());
    }

    /** Notes that a server runs a request. */
    void recordRunStart(DirectServer server) {
        capacity.recordRunStart(server);
    }

    /** Tells whether a server refuses one run after the other. */
    boolean isRefusingRuns(DirectServer server) {
        return capacity.isRefusingRuns(server);
    }

    /** Leaves a server alone that was ordered to change its stage. */
    void excludeUntil(DirectServer server, long untilMillis) {
        capacity.excludeUntil(server, untilMillis);
    }

    /** Notes that a prefill server has room for another prompt. */
    void prefillEnded() {
        pump();
    }

    /** Moves the queue and refuses those whose time is up. */
    void tick() {
        List<ModelFlow> expired = queue.removeExpired(context.timer().nowMillis());
        expired.forEach(ModelFlow::waitTimeExpired);
        pump();
    }

    long drainMillis() {
        return queue.drainMillis();
    }

    int waiting() {
        return queue.size();
    }

    void retain(List<DirectServer> usable) {
        capacity.retain(usable);
    }

    private void pump() {
        long nowMillis = context.timer().nowMillis();
        while (asking < MAXIMUM_ASKING && queue.peek().isPresent()) {
            List<DirectServer> servers = context.view().servers().generating(service);
            Optional<DirectServer> server =
                    capacity.choose(servers, Set.of(), context.health(), nowMillis);
            if (server.isEmpty()) {
                return;
            }
            Waiter<ModelFlow> waiter = queue.peek().get();
            if (!waiter.item().claimPrefill()) {
                return;
            }
            queue.remove(waiter);
            ask(waiter, server.get());
        }
    }

    private void ask(Waiter<ModelFlow> waiter, DirectServer server) {
        asking++;
        capacity.recordReservationRequest(server);
        if (!takesReservations()) {
            granted(waiter, server, Optional.empty(), waiter.item().tokensToReserve());
        } else {
            askWithSpareCapacity(waiter, server);
        }
    }

    private void askFor(Waiter<ModelFlow> waiter, DirectServer server) {
        ModelFlow flow = waiter.item();
        long tokens = flow.tokensToReserve();
        control.send(
                server,
                context.platform().servers().reserve(tokens, flow.reservationMillis()),
                reply -> answered(waiter, server, tokens, reply));
    }

    /**
     * Asks for more than the request needs and gives that back, so that the request is admitted
     * only where enough stays free.
     */
    private void askWithSpareCapacity(Waiter<ModelFlow> waiter, DirectServer server) {
        ModelFlow flow = waiter.item();
        ServerProtocol protocol = context.platform().servers();
        control.send(
                server,
                protocol.reserve(
                        flow.tokensToReserve()
                                + spareTokens(flow.tokensToReserve(), waiter.isLate()),
                        flow.reservationMillis()),
                reply -> {
                    Optional<String> id = reservationId(reply);
                    if (id.isEmpty()) {
                        answered(waiter, server, 0, reply);
                        return;
                    }
                    control.send(
                            server,
                            protocol.releaseReservation(id.get()),
                            released -> askFor(waiter, server));
                });
    }

    private long spareTokens(long tokens, boolean late) {
        return engine().map(e -> size.spareTokens(tokens, late, e.kvCacheTokens())).orElse(0L);
    }

    private boolean takesReservations() {
        return engine().filter(e -> e.reservationLimitMillis() > 0).isPresent();
    }

    private Optional<EngineSpec> engine() {
        return context.view()
                .routes()
                .flatMap(routes -> routes.service(service))
                .flatMap(DirectService::engine);
    }

    private Optional<String> reservationId(Reply reply) {
        return reply.isSuccess()
                ? context.platform().servers().reservation(reply.body())
                : Optional.empty();
    }

    private void answered(Waiter<ModelFlow> waiter, DirectServer server, long tokens, Reply reply) {
        Optional<String> id = reservationId(reply);
        if (id.isPresent()) {
            granted(waiter, server, id, tokens);
            pump();
            return;
        }
        asking--;
        waiter.item().releasePrefillClaim();
        long nowMillis = context.timer().nowMillis();
        capacity.recordRefusal(server, queue.size() + 1, nowMillis);
        if (!reply.isAnswer()) {
            context.health().get(server).recordNoResponse(nowMillis);
        }
        if (!waiter.item().isFinished()) {
            queue.requeue(waiter);
        }
        pump();
    }

    private void granted(
            Waiter<ModelFlow> waiter, DirectServer server, Optional<String> id, long tokens) {
        asking--;
        capacity.recordReservation(server, tokens);
        if (!waiter.item().isFinished()) {
            queue.recordGrant(context.timer().nowMillis());
        }
        grant(waiter.item(), new Reservation(server, id, tokens));
    }
}
