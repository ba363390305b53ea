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

/** Makes the connectors of the daemon's HTTP servers. */
public final class HttpConnectors {

    private static final int ACCEPTORS = 1;
    private static final int SELECTORS = 2;

    private HttpConnectors() {}

    /**
     * Adds a connector.
     *
     * @param server the server
     * @param listen where it listens
     * @param tls what makes TLS connections, or nothing for plain HTTP
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
                                                server, ACCEPTORS, SELECTORS, chain(factory, http)))
                        .orElseGet(() -> new ServerConnector(server, ACCEPTORS, SELECTORS, http));
        connector.setHost(listen.getAddress().getHostAddress());
        connector.setPort(listen.getPort());
        // A request may wait in the queue longer than any idle timeout of its connection.
        connector.setIdleTimeout(0);
        server.addConnector(connector);
        return connector;
    }

    /**
     * Adds a connector that takes requests as they come, to be forwarded unchanged.
     *
     * @param server the server
     * @param listen where to listen
     * @param maximumHeadBytes the largest head of a request
     * @return the connector
     */
    public static ServerConnector addForwarding(
            Server server, InetSocketAddress listen, int maximumHeadBytes) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        configuration.setRequestHeaderSize(maximumHeadBytes);
        // The path belongs to the backend server, which decides what it means.
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

    private static ConnectionFactory[] chain(
            SslContextFactory.Server factory, HttpConnectionFactory http) {
        return new ConnectionFactory[] {
            new SslConnectionFactory(factory, http.getProtocol()), http
        };
    }
}
