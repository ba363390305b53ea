package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.daemon.internal.events.EventLog;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;

/** Sends requests of the HTTP client so that each one has a result. */
public final class ClientRequests {

    private ClientRequests() {}

    /**
     * Sends a request.
     *
     * <p>If the client throws an exception or error instead of reporting a result, the request is
     * aborted and the failure becomes its result.
     *
     * @param request the request
     * @param listener receives the result, possibly before this method returns
     */
    public static void send(Request request, Response.CompleteListener listener) {
        try {
            request.send(listener);
        } catch (RuntimeException | Error e) {
            EventLog.logUnexpected("request to " + request.getHost(), e);
            request.abort(e);
            listener.onComplete(new Result(request, e, null, null));
        }
    }
}
