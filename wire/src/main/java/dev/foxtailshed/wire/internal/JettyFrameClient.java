package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.Connection.Listener;
import dev.foxtailshed.wire.FrameClient;
import dev.foxtailshed.wire.Message;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Transport;
import org.eclipse.jetty.util.component.LifeCycle;

/**
 * A {@link FrameClient} that uses the Jetty I/O library.
 *
 * <p>Thread-safe.
 */
public final class JettyFrameClient implements FrameClient {

    private final TransportContext context;
    private final ClientConnector connector = new ClientConnector();
    private final OpenConnections connections = new OpenConnections();

    /**
     * Creates a client and starts its selectors.
     *
     * @param context the state shared by all connections of the transport
     */
    public JettyFrameClient(TransportContext context) {
        this.context = context;
        connector.setExecutor(context.executor());
        connector.setScheduler(context.scheduler());
        connector.setByteBufferPool(context.bufferPool());
        connector.setConnectTimeout(Duration.ofMillis(context.limits().connectTimeoutMillis()));
        connector.setIdleTimeout(Duration.ZERO);
        connector.setTCPNoDelay(true);
        LifeCycle.start(connector);
    }

    @Override
    public void connect(InetSocketAddress address, Listener listener) {
        ConnectAttempt attempt = new ConnectAttempt(context, connections, listener);
        connections.add(attempt);
        Map<String, Object> settings = new HashMap<>();
        settings.put(ClientConnector.CLIENT_CONNECTION_FACTORY_CONTEXT_KEY, attempt);
        settings.put(ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY, attempt);
        settings.put(Transport.class.getName(), Transport.TCP_IP);
        try {
            connector.connect(address, settings);
        } catch (RuntimeException e) {
            attempt.failed(e);
        }
    }

    @Override
    public void close() {
        connections.closeAll();
        LifeCycle.stop(connector);
    }

    /** A placeholder for a connection that could not be established. */
    static final class UnestablishedConnection implements Connection {

        @Override
        public boolean send(Message message) {
            return false;
        }

        @Override
        public void close() {
            // The connection was never open.
        }

        @Override
        public boolean isOpen() {
            return false;
        }

        @Override
        public long queuedBytes() {
            return 0;
        }
    }
}
