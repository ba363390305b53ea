package dev.foxtailshed.wire;

import java.net.InetSocketAddress;

/**
 * A client that opens connections to other processes.
 *
 * <p>Thread-safe.
 */
public interface FrameClient extends AutoCloseable {

    /**
     * Connects in the background.
     *
     * <p>Calls {@link Connection.Listener#onOpen} once the handshake is complete, or only {@link
     * Connection.Listener#onClose} if the connect or the handshake fails.
     *
     * @param address the address of the other process
     * @param listener receives the events of the connection
     */
    void connect(InetSocketAddress address, Connection.Listener listener);

    /** Closes all connections of this client and aborts connects in progress. */
    @Override
    void close();
}
