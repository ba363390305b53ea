package dev.foxtailshed.daemon.internal.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Creates the connectors of the daemon's HTTP servers. */
public final class HttpConnectors {

    private static final int ACCEPTORS = 1;
    private static final int SELECTORS = 2;

    private HttpConnectors() {}

    /**
     * Adds a connector for HTTP or HTTPS.
     *
     * @param server the server
     * @param listen the address to listen on
     * @param tls the TLS configuration, or empty for plain HTTP
     * @return the connector, not started
     */
    public static ServerConnector add(
            Server server, InetSocketAddress listen, Optional<SslContextFactory.Server> tls) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        HttpConnectionFactory http = new HttpConnectionFactory(configuration);
        ServerConnector connector =
                tls.map(
                                factory ->
                                        new ServerConnector(
                                                server,
                                                ACCEPTORS,
                                                SELECTORS,
                                                tlsConnectionFactories(factory, http)))
                        .orElseGet(() -> new ServerConnector(server, ACCEPTORS, SELECTORS, http));
        connector.setHost(listen.getAddress().getHostAddress());
        connector.setPort(listen.getPort());
        // No idle timeout: a request may wait in the queue for any length of time.
        connector.setIdleTimeout(0);
        server.addConnector(connector);
        return connector;
    }

    /**
     * Adds a connector for requests that are forwarded unchanged, whatever their path.
     *
     * @param server the server
     * @param listen the address to listen on
     * @param maximumHeaderBytes the maximum size of the request line and headers
     * @return the connector, not started
     */
    public static ServerConnector addForwarding(
            Server server, InetSocketAddress listen, int maximumHeaderBytes) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        configuration.setRequestHeaderSize(maximumHeaderBytes);
        // Accept any path, since only the backend server interprets it.
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        configuration.setHttpCompliance(HttpCompliance.RFC7230);
        HttpConnectionFactory http = new HttpConnectionFactory(configuration);
        ServerConnector connector = new ServerConnector(server, ACCEPTORS, SELECTORS, http);
        connector.setHost(listen.getAddress().getHostAddress());
        connector.setPort(listen.getPort());
        connector.setIdleTimeout(0);
        server.addConnector(connector);
        return connector;
    }

    private static ConnectionFactory[] tlsConnectionFactories(
            SslContextFactory.Server factory, HttpConnectionFactory http) {
        return new ConnectionFactory[] {
            new SslConnectionFactory(factory, http.getProtocol()), http
        };
    }
}
