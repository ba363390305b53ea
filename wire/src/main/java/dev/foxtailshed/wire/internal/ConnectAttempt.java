package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Connection.Listener;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Promise;

/**
 * A connect in progress, which ends with either a new connection or a call of {@link
 * Listener#onClose} with the reason of the failure.
 *
 * <p>Thread-safe.
 */
final class ConnectAttempt
        implements ClientConnectionFactory, Promise<Connection>, OpenConnections.Member {

    private final TransportContext context;
    private final OpenConnections openConnections;
    private final Listener listener;
    private final AtomicBoolean completed = new AtomicBoolean();
    private volatile FrameConnection connection;

    ConnectAttempt(TransportContext context, OpenConnections openConnections, Listener listener) {
        this.context = context;
        this.openConnections = openConnections;
        this.listener = listener;
    }

    @Override
    public Connection newConnection(EndPoint endPoint, Map<String, Object> settings)
            throws IOException {
        if (!completed.compareAndSet(false, true)) {
            throw new IOException("the client is closed");
        }
        connection =
                new FrameConnection(
                        endPoint,
                        context,
                        new Handshake.Connector(context.key(), context.self()),
                        listener,
                        openConnections);
        openConnections.add(connection);
        openConnections.remove(this);
        return connection;
    }

    @Override
    public void succeeded(Connection result) {
        // The connection calls the listener when the handshake is complete.
    }

    @Override
    public void failed(Throwable cause) {
        closeWith("connect failed: " + cause);
    }

    @Override
    public void closeWith(String reason) {
        openConnections.remove(this);
        if (completed.compareAndSet(false, true)) {
            ListenerGate.runOutsideCaller(
                    context.executor(),
                    () -> listener.onClose(new JettyFrameClient.UnestablishedConnection(), reason));
        } else if (connection != null) {
            connection.closeWith(reason);
        }
    }
}
