package dev.foxtailshed.daemon.internal.http;

import com.google.gson.JsonObject;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the liveness and readiness checks of the load balancer. Thread-safe. */
public final class HealthEndpoint implements Endpoint {

    private static final String LIVE_PATH = "/health/live";
    private static final String READY_PATH = "/health/ready";

    private final BooleanSupplier ready;

    /**
     * Creates the endpoint.
     *
     * @param ready whether the process accepts new work
     */
    public HealthEndpoint(BooleanSupplier ready) {
        this.ready = ready;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.equals(LIVE_PATH)) {
            write(response, true, callback);
            return true;
        } else if (path.equals(READY_PATH)) {
            write(response, ready.getAsBoolean(), callback);
            return true;
        }
        return false;
    }

    private static void write(Response response, boolean ok, Callback callback) {
        JsonObject body = new JsonObject();
        body.addProperty("ok", ok);
        response.setStatus(ok ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
        ErrorBody.writeJson(response, body, callback);
    }
}
