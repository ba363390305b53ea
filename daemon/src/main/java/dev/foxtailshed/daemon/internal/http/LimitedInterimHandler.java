package dev.foxtailshed.daemon.internal.http;

import java.io.IOException;
import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.ProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;

/**
 * Handles interim responses (1xx) and fails a request that gets too many of them.
 *
 * <p>Without a limit, a server that sends nothing else would keep its request until the deadline.
 * Thread-safe.
 */
final class LimitedInterimHandler implements ProtocolHandler {

    /** More than a server sends within the deadline of a request. */
    static final int MAXIMUM_INTERIM_RESPONSES = 100;

    private static final String COUNT_ATTRIBUTE = LimitedInterimHandler.class.getName() + ".count";

    private final ProtocolHandler handler;

    private LimitedInterimHandler(ProtocolHandler handler) {
        this.handler = handler;
    }

    /**
     * Limits the interim responses that requests of a client may get.
     *
     * @param client a started client
     */
    static void install(HttpClient client) {
        client.getProtocolHandlers().put(new LimitedInterimHandler(new ContinueProtocolHandler()));
        client.getProtocolHandlers()
                .put(new LimitedInterimHandler(new ProcessingProtocolHandler()));
        client.getProtocolHandlers()
                .put(new LimitedInterimHandler(new EarlyHintsProtocolHandler()));
    }

    @Override
    public String getName() {
        return handler.getName();
    }

    @Override
    public boolean accept(Request request, Response response) {
        if (!handler.accept(request, response)) {
            return false;
        }
        int count =
                request.getAttributes().get(COUNT_ATTRIBUTE) instanceof Integer earlier
                        ? earlier + 1
                        : 1;
        request.attribute(COUNT_ATTRIBUTE, count);
        if (count > MAXIMUM_INTERIM_RESPONSES) {
            request.abort(new IOException("interim responses without end"));
        }
        return true;
    }

    @Override
    public Response.Listener getResponseListener() {
        return handler.getResponseListener();
    }
}
