package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.RequestFailure;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes an error as the whole answer to a request. Implementations are thread-safe. */
@FunctionalInterface
public interface ErrorWriter {

    /**
     * Writes the error.
     *
     * @param response the response, of which nothing was sent
     * @param failure the error
     * @param callback completed when it is written
     */
    void write(Response response, RequestFailure failure, Callback callback);
}
