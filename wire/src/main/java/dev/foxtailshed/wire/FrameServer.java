package dev.foxtailshed.wire;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * A server that accepts connections from other processes.
 *
 * <p>Thread-safe.
 */
public interface FrameServer extends AutoCloseable {

    /**
     * Starts accepting connections.
     *
     * @param address the address to bind; with port 0 the operating system chooses a port
     * @param listeners supplies a listener for each accepted connection
     * @return the bound address, with the actual port
     * @throws java.io.IOException if the address cannot be bound or this server is closed
     */
    InetSocketAddress listen(InetSocketAddress address, Supplier<Connection.Listener> listeners)
            throws java.io.IOException;

    /** Stops accepting connections and closes those that are open. */
    @Override
    void close();
}
