package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.PromptParts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.http.HttpFields;

/**
 * Finds out whether a model server has crashed when it breaks off requests that it had not begun to
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
    private final Map<Incarnation, List<PromptParts>> promptsByServer = new HashMap<>();

    /** Receives the crashes. */
    interface Listener {
        /** Called when a server has crashed, with the prompts that it had not begun to answer. */
        void onCrash(DirectServer server, long crashedMillis, List<PromptParts> prompts);
    }

    CrashDetector(DirectContext context, EngineControlClient controlClient, Listener listener) {
        this.context = context;
        this.controlClient = controlClient;
        this.listener = listener;
    }

    /** Records that a server broke off a request before its first event. */
    void recordBrokenStart(DirectServer server, PromptParts prompt) {
        List<PromptParts> known = promptsByServer.get(server.incarnation());
        if (known != null) {
            known.add(prompt);
            return;
        }
        promptsByServer.put(server.incarnation(), new ArrayList<>(List.of(prompt)));
        scheduleCall(server, context.timer().nowMillis(), 0);
    }

    private void scheduleCall(DirectServer server, long brokenMillis, int call) {
        context.schedule(
                CALL_DELAYS_MILLIS[call],
                () ->
                        controlClient.send(
                                server,
                                context.platform().serverProtocol().newReadStateCall(),
                                reply -> onReply(server, brokenMillis, call, reply)));
    }

    private void onReply(
            DirectServer server, long brokenMillis, int call, EngineControlClient.Reply reply) {
        boolean crashed = reply.unsent() || isFromAnotherServer(reply);
        boolean decided = crashed || reply.hasResponse();
        if (!decided && call + 1 < CALL_DELAYS_MILLIS.length) {
            scheduleCall(server, brokenMillis, call + 1);
            return;
        }
        List<PromptParts> prompts = promptsByServer.remove(server.incarnation());
        if (crashed) {
            listener.onCrash(server, brokenMillis, prompts);
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
