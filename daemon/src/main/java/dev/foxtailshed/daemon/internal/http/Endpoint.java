package dev.foxtailshed.daemon.internal.http;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the requests of certain methods and paths; see {@link EndpointChain}. */
public interface Endpoint {

    /**
     * Serves a request if its method and path belong to this endpoint.
     *
     * @param request the request
     * @param response the response to write
     * @param callback completed when the response is complete, possibly on another thread
     * @return whether the request belongs to this endpoint; if not, nothing was done
     */
    boolean handle(Request request, Response response, Callback callback);
}
