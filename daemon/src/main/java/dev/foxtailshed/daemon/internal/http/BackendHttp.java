package dev.foxtailshed.daemon.internal.http;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProxyAuthenticationProtocolHandler;
import org.eclipse.jetty.client.RedirectProtocolHandler;
import org.eclipse.jetty.client.WWWAuthenticationProtocolHandler;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;

/** Makes the HTTP client with which a sidecar speaks to its backend server. */
public final class BackendHttp {

    private static final int MAXIMUM_CONNECTIONS = 4096;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private BackendHttp() {}

    /**
     * Creates a client that hands requests and answers on as they are: it stores no cookies, since
     * these belong to single callers, decodes no content and follows no redirects.
     *
     * @return the client, not started
     */
    public static HttpClient newClient() {
        HttpClient client =
                new HttpClient(new HttpClientTransportOverHTTP(new ResetAwareConnector()));
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
        client.setFollowRedirects(false);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS);
        return client;
    }

    /**
     * Finishes what is only possible on a started client.
     *
     * @param client a started client
     */
    public static void disableResponseProcessing(HttpClient client) {
        client.getContentDecoderFactories().clear();
        // Jetty would answer for the caller: a 401 without a challenge becomes a failure.
        client.getProtocolHandlers().remove(RedirectProtocolHandler.NAME);
        client.getProtocolHandlers().remove(WWWAuthenticationProtocolHandler.NAME);
        client.getProtocolHandlers().remove(ProxyAuthenticationProtocolHandler.NAME);
    }
}
