package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol;
import dev.foxtailshed.daemon.internal.direct.EngineControl.Reply;
import dev.foxtailshed.kernel.direct.AdmissionQueue;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;
import dev.foxtailshed.kernel.direct.DecodeCapacity;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import dev.foxtailshed.kernel.direct.DirectService;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Reserves decode capacity of one service for the requests of this entry, one queue for all.
 *
 * <p>Only the first in the queue asks a server, so waiting requests do not multiply calls. The
 * queue moves when a request of this entry ends, when one arrives, and on a short tick for capacity
 * that other entries free. Runs on the entry's loop.
 */
final class DecodeReservations {

    /** Reservations asked for at once: enough to fill an idle pool, few enough to stay in order. */
    private static final int MAXIMUM_ASKING = 4;

    /**
     * Share of a server's KV cache that late requests leave free: about two requests in time, which
     * arrive before a stream ends.
     */
    private static final double SPARE_SHARE = 0.15;

    private final DirectContext context;
    private final EngineControl control;
    private final String service;
    private final DecodeCapacity capacity;
    private final AdmissionQueue<ModelFlow> queue = new AdmissionQueue<>();
    private int asking;

    DecodeReservations(
            DirectContext context, EngineControl control, String service, DecodeCapacity capacity) {
        this.context = context;
        this.control = control;
        this.service = service;
        this.capacity = capacity;
    }

    /**
     * Capacity that a request holds at a decode server.
     *
     * @param server the server
     * @param id the reservation's id
     * @param tokens the tokens reserved
     */
    record Reservation(DirectServer server, String id, long tokens) {}

    /** Lets a request wait; empty if it cannot be served in time. */
    Optional<Waiter<ModelFlow>> join(
            ModelFlow flow, int priority, boolean late, long giveUpMillis) {
        long nowMillis = context.timer().nowMillis();
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
                    Optional<String> id =
                            reply.isSuccess()
                                    ? context.platform().servers().reservation(reply.body())
                                    : Optional.empty();
                    if (id.isEmpty()) {
                        flow.waitTimeExpired();
                        return;
                    }
                    capacity.reserved(server, tokens);
                    grant(flow, new Reservation(server, id.get(), tokens));
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
        capacity.released(reservation.server(), reservation.tokens());
        control.send(
                reservation.server(),
                context.platform().servers().releaseReservation(reservation.id()),
                reply -> pump());
    }

    /** Notes that the request which used a reservation has ended. */
    void ended(Reservation reservation) {
        capacity.released(reservation.server(), reservation.tokens());
        pump();
    }

    /** Moves the queue and refuses those whose time is up. */
    void tick() {
        List<ModelFlow> expired = queue.expire(context.timer().nowMillis());
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
            List<DirectServer> servers = context.view().servers().of(service, Stage.DECODE);
            Optional<DirectServer> server =
                    capacity.choose(servers, Set.of(), context.health(), nowMillis);
            if (server.isEmpty()) {
                return;
            }
            Waiter<ModelFlow> waiter = queue.peek().get();
            queue.remove(waiter);
            ask(waiter, server.get());
        }
    }

    private void ask(Waiter<ModelFlow> waiter, DirectServer server) {
        asking++;
        capacity.asking(server);
        if (waiter.isLate()) {
            askForSpareCapacity(waiter, server);
        } else {
            askFor(waiter, server);
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
     * Asks for a late request. It gets capacity only where some is left for requests in time, so
     * more than it needs is asked for first, and given back.
     */
    private void askForSpareCapacity(Waiter<ModelFlow> waiter, DirectServer server) {
        ModelFlow flow = waiter.item();
        ServerProtocol protocol = context.platform().servers();
        control.send(
                server,
                protocol.reserve(flow.tokensToReserve() + spareTokens(), flow.reservationMillis()),
                reply -> {
                    Optional<String> id =
                            reply.isSuccess()
                                    ? protocol.reservation(reply.body())
                                    : Optional.empty();
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

    private long spareTokens() {
        return context.view()
                .routes()
                .flatMap(routes -> routes.service(service))
                .flatMap(DirectService::engine)
                .map(engine -> (long) (SPARE_SHARE * engine.kvCacheTokens()))
                .orElse(0L);
    }

    private void answered(Waiter<ModelFlow> waiter, DirectServer server, long tokens, Reply reply) {
        asking--;
        ModelFlow flow = waiter.item();
        long nowMillis = context.timer().nowMillis();
        Optional<String> id =
                reply.isSuccess()
                        ? context.platform().servers().reservation(reply.body())
                        : Optional.empty();
        if (id.isPresent()) {
            capacity.reserved(server, tokens);
            Reservation reservation = new Reservation(server, id.get(), tokens);
            if (!flow.isFinished()) {
                queue.granted(nowMillis);
            }
            grant(flow, reservation);
        } else {
            capacity.refused(server, nowMillis);
            if (!reply.isAnswer()) {
                context.health().of(server).unanswered(nowMillis);
            }
            if (!flow.isFinished()) {
                queue.requeue(waiter);
            }
        }
        pump();
    }
}
