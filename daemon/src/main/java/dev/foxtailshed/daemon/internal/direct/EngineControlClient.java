package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol;
import dev.foxtailshed.daemon.hosting.ServerProtocol.ControlCall;
import dev.foxtailshed.daemon.hosting.ServerProtocol.ResponseHead;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.http.ClientRequests;
import dev.foxtailshed.kernel.direct.DirectServer;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;

/** Sends control calls to model servers. Thread-safe; replies are delivered on the entry's loop. */
final class EngineControlClient {

    /** Timeout of a control call; servers respond to these without queueing. */
    private static final long TIMEOUT_MILLIS = 600;

    /** Largest reply; many calls may be in flight. */
    private static final int MAXIMUM_RESPONSE_BYTES = 128 << 10;

    private final DirectContext context;

    EngineControlClient(DirectContext context) {
        this.context = context;
    }

    /**
     * The reply to a control call.
     *
     * @param status the HTTP status, 0 if no response arrived
     * @param body the body, empty if no response arrived
     * @param unsent whether the call certainly was not sent
     */
    record Reply(int status, byte[] body, boolean unsent) {
        boolean isSuccess() {
            return status / 100 == 2;
        }

        boolean hasResponse() {
            return status > 0;
        }
    }

    void send(DirectServer server, ControlCall call, Consumer<Reply> next) {
        context.rateLimits().recordSent(server, context.timer().nowMillis());
        Request request;
        try {
            request = newRequest(server, call);
        } catch (RuntimeException e) {
            EventLog.logUnexpected("control call to " + server.id(), e);
            context.loop().execute(() -> next.accept(new Reply(0, new byte[0], true)));
            return;
        }
        ClientRequests.send(
                request,
                new BufferingResponseListener(MAXIMUM_RESPONSE_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        Reply reply = toReply(result, this::getContent);
                        ResponseHead head = parseHead(result.getResponse());
                        context.runOnLoop(
                                () -> {
                                    if (head.saysLeaving(server.id())) {
                                        context.view().recordLeaving(server, call.path());
                                    }
                                    next.accept(reply);
                                });
                    }
                });
    }

    /** Parses the head of a response, which has status 0 if none arrived. */
    private ResponseHead parseHead(Response response) {
        return context.platform()
                .serverProtocol()
                .parseHead(response.getStatus(), response.getHeaders());
    }

    private Request newRequest(DirectServer server, ControlCall call) {
        ServerProtocol protocol = context.platform().serverProtocol();
        Request request =
                context.backendRequest(server, call.method().asString(), call.path())
                        .headers(fields -> fields.add(protocol.buildControlHeaders(server.id())))
                        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        call.body()
                .ifPresent(
                        body ->
                                request.body(
                                        new StringRequestContent(
                                                "application/json", body.toString())));
        return request;
    }

    private static Reply toReply(Result result, Supplier<byte[]> content) {
        if (result.isFailed()) {
            return new Reply(0, new byte[0], result.getFailure() instanceof ConnectException);
        }
        try {
            return new Reply(result.getResponse().getStatus(), content.get(), false);
        } catch (OutOfMemoryError e) {
            // Without a reply, the caller's request would wait until its deadline.
            EventLog.logUnexpected("control call", e);
            return new Reply(0, new byte[0], false);
        }
    }
}
