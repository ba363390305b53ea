package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol;
import dev.foxtailshed.daemon.hosting.ServerProtocol.ControlCall;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.suspects.BrokenRun;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * Finds out whether a server has crashed when it breaks off requests.
 *
 * <p>A server that refuses connections right afterwards, or has been replaced at its address, has
 * crashed. One that responds has only broken off single requests, and one that is silent may be cut
 * off. Runs on the entry's loop.
 */
final class CrashDetector {

    /** Delays of the calls that tell; a pooled connection may fail without telling. */
    private static final long[] CALL_DELAYS_MILLIS = {0, 50, 200};

    private final DirectContext context;
    private final EngineControlClient controlClient;
    private final Listener listener;
    private final Map<Incarnation, BrokenWork> workByServer = new HashMap<>();

    /** Receives the crashes. */
    interface Listener {
        /** Called when a server has crashed, with all that it broke off. */
        void onCrash(DirectServer server, long crashedMillis, BrokenWork work);
    }

    /**
     * What a server broke off.
     *
     * @param requests the requests that it had not begun to answer
     * @param runs the requests that it was answering
     */
    record BrokenWork(List<BrokenRun> requests, List<BrokenRun> runs) {}

    CrashDetector(DirectContext context, EngineControlClient controlClient, Listener listener) {
        this.context = context;
        this.controlClient = controlClient;
        this.listener = listener;
    }

    /** Records that a server broke off a request before it began to answer it. */
    void recordBrokenStart(DirectServer server, BrokenRun run) {
        workOf(server).requests().add(run);
    }

    /** Records that a server broke off a request that it was answering. */
    void recordBrokenRun(DirectServer server, BrokenRun run) {
        workOf(server).runs().add(run);
    }

    /** Returns the work that a server broke off; at first, finds out whether it has crashed. */
    private BrokenWork workOf(DirectServer server) {
        return workByServer.computeIfAbsent(
                server.incarnation(),
                unused -> {
                    scheduleCall(server, context.timer().nowMillis(), 0);
                    return new BrokenWork(new ArrayList<>(), new ArrayList<>());
                });
    }

    private void scheduleCall(DirectServer server, long brokenMillis, int call) {
        context.schedule(
                CALL_DELAYS_MILLIS[call],
                () ->
                        controlClient.send(
                                server,
                                newLivenessCall(server),
                                reply -> onReply(server, brokenMillis, call, reply)));
    }

    private ControlCall newLivenessCall(DirectServer server) {
        Optional<DirectService> service =
                context.view().routes().flatMap(routes -> routes.service(server.service()));
        ServerProtocol protocol = context.platform().serverProtocol();
        // A model server reports its state at once; a plain one has only its health check.
        return service.filter(plain -> plain.engine().isEmpty())
                .flatMap(DirectService::healthCheckPath)
                .map(protocol::newHealthCheckCall)
                .orElseGet(protocol::newReadStateCall);
    }

    private void onReply(
            DirectServer server, long brokenMillis, int call, EngineControlClient.Reply reply) {
        boolean crashed = reply.unsent() || isFromAnotherServer(reply);
        boolean decided = crashed || reply.hasResponse();
        if (!decided && call + 1 < CALL_DELAYS_MILLIS.length) {
            scheduleCall(server, brokenMillis, call + 1);
            return;
        }
        BrokenWork work = workByServer.remove(server.incarnation());
        if (crashed) {
            listener.onCrash(server, brokenMillis, work);
        }
    }

    private boolean isFromAnotherServer(EngineControlClient.Reply reply) {
        return reply.hasResponse()
                && context.platform()
                        .serverProtocol()
                        .parseHead(reply.status(), HttpFields.EMPTY)
                        .wrongServer();
    }
}
