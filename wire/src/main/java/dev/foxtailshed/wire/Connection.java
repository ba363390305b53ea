package dev.foxtailshed.wire;

/**
 * A connection between two processes.
 *
 * <p>Thread-safe. The peer receives messages in the order of the calls to {@link #send}; messages
 * not yet written when the connection closes are lost.
 */
public interface Connection {

    /**
     * Queues a message for sending without blocking.
     *
     * @return true if the message was queued, which does not mean that it will be delivered; false
     *     if the connection is closed or its queue limit is exceeded, in which case nothing was
     *     queued
     * @throws IllegalArgumentException if the encoded message exceeds the frame size limit
     */
    boolean send(Message message);

    /** Closes the connection; {@link Listener#onClose} is called on both sides. */
    void close();

    /**
     * Returns whether the connection is open.
     *
     * @return true until either side closes the connection or it fails
     */
    boolean isOpen();

    /**
     * Returns the number of bytes waiting to be written, for backpressure.
     *
     * @return the bytes queued and not yet accepted by the operating system
     */
    long queuedBytes();

    /**
     * Receives the events of one connection.
     *
     * <p>Calls are made one at a time, in the order of the events, and must not block. An exception
     * thrown by {@link #onOpen} or {@link #onMessage} closes the connection.
     */
    interface Listener {
        /**
         * Called when the handshake is complete and both sides are authenticated.
         *
         * @param peer the process at the other end
         */
        void onOpen(Connection connection, Peer peer);

        /** Called when a message has been received. */
        void onMessage(Connection connection, Message message);

        /**
         * Called once when the connection has closed, also after a failed connect or handshake.
         *
         * @param connection the closed connection; a placeholder if it was never established
         * @param reason a short description for logs
         */
        void onClose(Connection connection, String reason);
    }

    /**
     * The identity of the process at one end of a connection.
     *
     * @param name the instance id of an entry, or the server name of a sidecar
     * @param incarnation a random number that the process chose at startup, which distinguishes it
     *     from earlier processes of the same name
     */
    record Peer(String name, long incarnation) {}
}
