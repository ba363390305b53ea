package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.FrameServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.AbstractConnectionFactory;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.component.LifeCycle;

/**
 * A {@link FrameServer} that uses the Jetty I/O library.
 *
 * <p>Thread-safe.
 */
public final class JettyFrameServer implements FrameServer {

    /** No acceptor threads: the selectors accept connections. */
    private static final int ACCEPTORS = 0;

    /** Jetty derives the number of selectors from the number of processors. */
    private static final int DEFAULT_SELECTORS = -1;

    private static final int ACCEPT_QUEUE_SIZE = 1024;

    private final TransportContext context;
    private final OpenConnections connections = new OpenConnections();
    private final List<ServerConnector> connectors = new CopyOnWriteArrayList<>();
    private volatile boolean closed;

    /**
     * Creates a server that is not listening yet.
     *
     * @param context the state shared by all connections of the transport
     */
    public JettyFrameServer(TransportContext context) {
        this.context = context;
    }

    @Override
    public InetSocketAddress listen(
            InetSocketAddress address, Supplier<Connection.Listener> listeners) throws IOException {
        if (closed) {
            throw new IOException("the server is closed");
        }
        ServerConnector connector = newConnector(address, listeners);
        connector.open();
        connectors.add(connector);
        try {
            connector.start();
        } catch (Exception e) {
            LifeCycle.stop(connector);
            throw new IOException("cannot listen on " + address, e);
        }
        if (closed) {
            LifeCycle.stop(connector);
            throw new IOException("the server is closed");
        }
        return new InetSocketAddress(address.getAddress(), connector.getLocalPort());
    }

    @Override
    public void close() {
        closed = true;
        connectors.forEach(ServerConnector::close);
        connections.closeAll();
        connectors.forEach(connector -> LifeCycle.stop(connector));
    }

    private ServerConnector newConnector(
            InetSocketAddress address, Supplier<Connection.Listener> listeners) throws IOException {
        if (address.isUnresolved()) {
            throw new IOException("unknown host " + address.getHostString());
        }
        // Jetty requires a server, although only the connector is started.
        ServerConnector connector =
                new ServerConnector(
                        new Server(),
                        context.executor(),
                        context.scheduler(),
                        context.bufferPool(),
                        ACCEPTORS,
                        DEFAULT_SELECTORS,
                        new FrameConnectionFactory(listeners));
        // These are shared with other servers and clients, so closing the connector must not stop
        // them.
        connector.unmanage(context.executor());
        connector.unmanage(context.scheduler());
        connector.unmanage(context.bufferPool());
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(0);
        connector.setAcceptedTcpNoDelay(true);
        connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
        return connector;
    }

    /** Creates the connection object for each accepted endpoint. */
    private final class FrameConnectionFactory extends AbstractConnectionFactory {

        private final Supplier<Connection.Listener> listeners;

        private FrameConnectionFactory(Supplier<Connection.Listener> listeners) {
            super("foxtailshed");
            this.listeners = listeners;
        }

        @Override
        public FrameConnection newConnection(Connector connector, EndPoint endPoint) {
            FrameConnection connection =
                    new FrameConnection(
                            endPoint,
                            context,
                            new Handshake.Acceptor(context.key(), context.self()),
                            listeners.get(),
                            connections);
            connections.add(connection);
            return configure(connection, connector, endPoint);
        }
    }
}
