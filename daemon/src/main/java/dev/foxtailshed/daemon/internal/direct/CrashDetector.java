package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol;
import dev.foxtailshed.daemon.hosting.ServerProtocol.ControlCall;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.suspects.RequestTraits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * Finds out whether a server has crashed when it breaks off requests that it had not begun to
 * answer.
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
    private final Map<Incarnation, List<RequestTraits>> requestsByServer = new HashMap<>();

    /** Receives the crashes. */
    interface Listener {
        /** Called when a server has crashed, with the requests that it had not begun to answer. */
        void onCrash(DirectServer server, long crashedMillis, List<RequestTraits> requests);
    }

    CrashDetector(DirectContext context, EngineControlClient controlClient, Listener listener) {
        this.context = context;
        this.controlClient = controlClient;
        this.listener = listener;
    }

    /** Records that a server broke off a request before it began to answer it. */
    void recordBrokenStart(DirectServer server, RequestTraits request) {
        List<RequestTraits> known = requestsByServer.get(server.incarnation());
        if (known != null) {
            known.add(request);
            return;
        }
        requestsByServer.put(server.incarnation(), new ArrayList<>(List.of(request)));
        scheduleCall(server, context.timer().nowMillis(), 0);
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
        List<RequestTraits> requests = requestsByServer.remove(server.incarnation());
        if (crashed) {
            listener.onCrash(server, brokenMillis, requests);
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
