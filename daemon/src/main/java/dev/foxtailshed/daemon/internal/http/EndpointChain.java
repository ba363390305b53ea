package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Passes each request to the first endpoint that serves it, or responds with "not found". */
public final class EndpointChain extends Handler.Abstract.NonBlocking {

    private final List<Endpoint> endpoints;
    private final BooleanSupplier shuttingDown;

    /**
     * Creates the chain.
     *
     * @param endpoints the endpoints, in the order in which they are tried
     * @param shuttingDown whether the process is shutting down; if so, responses close their
     *     connection, so that callers send the next request on another connection
     */
    public EndpointChain(List<Endpoint> endpoints, BooleanSupplier shuttingDown) {
        this.endpoints = List.copyOf(endpoints);
        this.shuttingDown = shuttingDown;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (shuttingDown.getAsBoolean()) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.handle(request, response, callback)) {
                return true;
            }
        }
        String path = Request.getPathInContext(request);
        RequestFailure failure =
                RequestFailure.notRun(
                        ErrorCode.NOT_FOUND,
                        "nothing is served at " + request.getMethod() + " " + path);
        ErrorBody.write(response, failure, callback);
        return true;
    }
}
