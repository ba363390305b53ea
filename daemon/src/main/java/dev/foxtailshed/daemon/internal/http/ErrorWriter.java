package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.RequestFailure;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes an error as the complete response to a request. Implementations are thread-safe. */
@FunctionalInterface
public interface ErrorWriter {

    /**
     * Writes an error response.
     *
     * @param response a response of which nothing has been written
     * @param failure the error
     * @param callback completed when the response is written
     */
    void write(Response response, RequestFailure failure, Callback callback);
}
