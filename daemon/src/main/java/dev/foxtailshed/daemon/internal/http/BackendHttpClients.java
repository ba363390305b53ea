package dev.foxtailshed.daemon.internal.http;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProxyAuthenticationProtocolHandler;
import org.eclipse.jetty.client.RedirectProtocolHandler;
import org.eclipse.jetty.client.WWWAuthenticationProtocolHandler;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.util.component.LifeCycle;

/** Creates the HTTP clients for calls to backend servers and to other services. */
public final class BackendHttpClients {

    private static final int MAXIMUM_CONNECTIONS_PER_SERVER = 4096;

    /** A longer head is not a response; without a limit, one server could fill the memory. */
    private static final int MAXIMUM_RESPONSE_HEAD_BYTES = 64 << 10;

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private BackendHttpClients() {}

    /**
     * Creates a client that forwards requests and responses unchanged.
     *
     * <p>It stores no cookies, since they belong to individual callers, and follows no redirects. A
     * reset connection, and interim responses without end, are reported as failures. Call {@link
     * #disableResponseProcessing} after the start.
     *
     * @return the client, not started
     */
    public static HttpClient newClient() {
        HttpClient client = newBoundedClient(new ResetAwareConnector.WithoutTls());
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
        client.setFollowRedirects(false);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS_PER_SERVER);
        return client;
    }

    /**
     * Creates a client for services such as the platform's store, with or without TLS.
     *
     * @return the client, not started
     */
    public static HttpClient newServiceClient() {
        return newBoundedClient(new ResetAwareConnector());
    }

    /** Creates a client that keeps no head and no interim responses without end. */
    private static HttpClient newBoundedClient(ResetAwareConnector connector) {
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setMaxResponseHeadersSize(MAXIMUM_RESPONSE_HEAD_BYTES);
        // Jetty sets up its own handlers when the client starts.
        client.addEventListener(
                new LifeCycle.Listener() {
                    @Override
                    public void lifeCycleStarted(LifeCycle started) {
                        LimitedInterimHandler.install(client);
                    }
                });
        return client;
    }

    /**
     * Disables content decoding and the handling of redirects and authentication challenges.
     *
     * <p>Jetty sets these up when the client starts, so they can only be removed afterwards.
     *
     * @param client a started client
     */
    public static void disableResponseProcessing(HttpClient client) {
        client.getContentDecoderFactories().clear();
        // Jetty would handle these responses itself: a 401 without a challenge becomes a failure.
        client.getProtocolHandlers().remove(RedirectProtocolHandler.NAME);
        client.getProtocolHandlers().remove(WWWAuthenticationProtocolHandler.NAME);
        client.getProtocolHandlers().remove(ProxyAuthenticationProtocolHandler.NAME);
    }
}
