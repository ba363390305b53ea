package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.http.Endpoint;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Serves the load balancer's check of whether this entry accepts new connections. Thread-safe. */
final class ReadinessEndpoint implements Endpoint {

    private static final String PATH = "/readiness";

    private final BooleanSupplier ready;

    ReadinessEndpoint(BooleanSupplier ready) {
        this.ready = ready;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        boolean accepting = ready.getAsBoolean();
        response.setStatus(accepting ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
        response.write(true, BufferUtil.EMPTY_BUFFER, callback);
        return true;
    }
}
