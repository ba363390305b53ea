package dev.foxtailshed.wire;

import dev.foxtailshed.wire.internal.FrameCodec;
import dev.foxtailshed.wire.internal.JettyFrameClient;
import dev.foxtailshed.wire.internal.JettyFrameServer;
import dev.foxtailshed.wire.internal.LongAdderCounters;
import dev.foxtailshed.wire.internal.TransportContext;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Creates the servers and clients through which processes exchange messages.
 *
 * <pre>{@code
 * FrameTransport transport =
 *         FrameTransport.builder().key(key).name("llm-1").incarnation(random).build();
 * FrameServer server = transport.newServer();
 * InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), listeners);
 * }</pre>
 *
 * <p>Thread-safe; the settings cannot change after {@link Builder#build}. A connection whose peer
 * sends a malformed frame, uses a wrong key or does not complete the handshake in time is closed
 * and counted. {@link Connection#send} throws {@link IllegalArgumentException} for a message over
 * the frame size limit, and closes the connection if more bytes are waiting to be written than the
 * queue limit allows. An exception thrown by a listener closes its connection. Listeners must not
 * block and must not close the transport.
 */
public final class FrameTransport implements AutoCloseable {

    private final TransportContext context;
    private final QueuedThreadPool defaultThreads;
    private final LongAdderCounters counters = new LongAdderCounters();
    private final Queue<Runnable> closeActions = new ConcurrentLinkedQueue<>();

    private volatile boolean closed;

    private FrameTransport(Builder builder) {
        Objects.requireNonNull(builder.key, "key");
        Objects.requireNonNull(builder.name, "name");
        Scheduler scheduler = new ScheduledExecutorScheduler("wire-timeouts", true);
        this.defaultThreads = new QueuedThreadPool();
        this.defaultThreads.setName("wire");
        this.defaultThreads.setDaemon(true);
        this.context =
                new TransportContext(
                        builder.key,
                        new Connection.Peer(builder.name, builder.incarnation),
                        new FrameCodec(builder.maximumFrameBytes),
                        counters,
                        builder.executor == null ? defaultThreads : builder.executor,
                        scheduler,
                        new ArrayByteBufferPool(),
                        new TransportContext.Limits(
                                builder.maximumQueuedBytes,
                                builder.handshakeTimeoutMillis,
                                builder.connectTimeoutMillis));
        LifeCycle.start(scheduler);
        if (builder.executor == null) {
            LifeCycle.start(defaultThreads);
        }
    }

    /** Returns a new builder with default settings. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Creates a server, which is closed together with this transport.
     *
     * @return the server, which is not listening yet
     * @throws IllegalStateException if this transport is closed
     */
    public FrameServer newServer() {
        requireOpen();
        FrameServer server = new JettyFrameServer(context);
        closeActions.add(server::close);
        return server;
    }

    /**
     * Creates a client, which is closed together with this transport.
     *
     * @throws IllegalStateException if this transport is closed
     */
    public FrameClient newClient() {
        requireOpen();
        FrameClient client = new JettyFrameClient(context);
        closeActions.add(client::close);
        return client;
    }

    /**
     * Returns the traffic and error counters of all connections of this transport.
     *
     * @return a live view of the counters
     */
    public WireCounters counters() {
        return counters;
    }

    /** Closes all servers, clients and connections of this transport. */
    @Override
    public void close() {
        closed = true;
        for (Runnable close = closeActions.poll(); close != null; close = closeActions.poll()) {
            close.run();
        }
        LifeCycle.stop(defaultThreads);
        LifeCycle.stop(context.scheduler());
    }

    private void requireOpen() {
        if (closed) {
            throw new IllegalStateException("the transport is closed");
        }
    }

    /**
     * A builder of transports.
     *
     * <p>{@link #key} and {@link #name} are required; every other setting has a default. Not
     * thread-safe.
     */
    public static final class Builder {

        private static final int DEFAULT_MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024;
        private static final long DEFAULT_MAXIMUM_QUEUED_BYTES = 64L * 1024 * 1024;
        private static final long DEFAULT_HANDSHAKE_TIMEOUT_MILLIS = 2_000;
        private static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 2_000;
        private static final int MAXIMUM_NAME_LENGTH = 255;

        private SharedKey key;
        private String name;
        private long incarnation;
        private Executor executor;
        private int maximumFrameBytes = DEFAULT_MAXIMUM_FRAME_BYTES;
        private long maximumQueuedBytes = DEFAULT_MAXIMUM_QUEUED_BYTES;
        private long handshakeTimeoutMillis = DEFAULT_HANDSHAKE_TIMEOUT_MILLIS;
        private long connectTimeoutMillis = DEFAULT_CONNECT_TIMEOUT_MILLIS;

        private Builder() {}

        /**
         * Sets the shared key with which both sides authenticate.
         *
         * @return this builder
         */
        public Builder key(SharedKey value) {
            key = value;
            return this;
        }

        /**
         * Sets the name under which this process identifies itself to its peers.
         *
         * @param value the instance id of an entry, or the server name of a sidecar
         * @return this builder
         * @throws IllegalArgumentException if the name is empty or longer than 255 characters
         */
        public Builder name(String value) {
            if (value.isEmpty() || value.length() > MAXIMUM_NAME_LENGTH) {
                throw new IllegalArgumentException(
                        "name must have 1 to " + MAXIMUM_NAME_LENGTH + " characters");
            }
            name = value;
            return this;
        }

        /**
         * Sets the incarnation, a random number that this process chose at startup.
         *
         * @param value the incarnation, 0 if not set
         * @return this builder
         */
        public Builder incarnation(long value) {
            incarnation = value;
            return this;
        }

        /**
         * Sets the executor that runs selectors and listeners; if not set, the transport uses a
         * thread pool of its own.
         *
         * <p>The transport does not stop this executor.
         *
         * @param value a started executor with enough threads to dedicate some to selectors
         * @return this builder
         */
        public Builder executor(Executor value) {
            executor = value;
            return this;
        }

        /**
         * Sets the maximum size of a frame, not counting its length field.
         *
         * @param value the limit in bytes, 8 MiB if not set
         * @return this builder
         * @throws IllegalArgumentException if the limit is not positive
         */
        public Builder maximumFrameBytes(int value) {
            maximumFrameBytes = (int) requirePositive(value, "maximumFrameBytes");
            return this;
        }

        /**
         * Sets the maximum number of bytes that may wait to be written on one connection; a
         * connection that would exceed it is closed.
         *
         * @param value the limit in bytes, 64 MiB if not set
         * @return this builder
         * @throws IllegalArgumentException if the limit is not positive
         */
        public Builder maximumQueuedBytes(long value) {
            maximumQueuedBytes = requirePositive(value, "maximumQueuedBytes");
            return this;
        }

        /**
         * Sets the timeout of the handshake.
         *
         * @param value the timeout in milliseconds, 2000 if not set
         * @return this builder
         * @throws IllegalArgumentException if the timeout is not positive
         */
        public Builder handshakeTimeoutMillis(long value) {
            handshakeTimeoutMillis = requirePositive(value, "handshakeTimeoutMillis");
            return this;
        }

        /**
         * Sets the timeout of establishing a TCP connection.
         *
         * @param value the timeout in milliseconds, 2000 if not set
         * @return this builder
         * @throws IllegalArgumentException if the timeout is not positive
         */
        public Builder connectTimeoutMillis(long value) {
            connectTimeoutMillis = requirePositive(value, "connectTimeoutMillis");
            return this;
        }

        /**
         * Creates the transport and starts its threads.
         *
         * @throws NullPointerException if the key or the name is not set
         */
        public FrameTransport build() {
            return new FrameTransport(this);
        }

        private static long requirePositive(long value, String setting) {
            if (value <= 0) {
                throw new IllegalArgumentException(setting + " must be positive");
            }
            return value;
        }
    }
}
