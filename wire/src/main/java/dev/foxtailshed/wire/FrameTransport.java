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
 * Makes the servers and clients through which processes exchange messages.
 *
 * <pre>{@code
 * FrameTransport transport =
 *         FrameTransport.builder().key(key).name("llm-1").incarnation(random).build();
 * FrameServer server = transport.newServer();
 * InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), listeners);
 * }</pre>
 *
 * <p>Thread-safe, its settings fixed once built. A connection that sends a malformed frame,
 * presents a wrong key or doesn't finish its handshake in time is closed and counted. {@link
 * Connection#send} refuses a message over the frame limit with {@link IllegalArgumentException},
 * and closes the connection if more waits to be written than the queue limit allows. A listener
 * that throws loses its connection. Listeners must not block, nor close the transport.
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

    /**
     * Starts to build a transport.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Makes a server, closed with this transport.
     *
     * @return the server, not listening yet
     * @throws IllegalStateException if this transport is closed
     */
    public FrameServer newServer() {
        requireOpen();
        FrameServer server = new JettyFrameServer(context);
        closeActions.add(server::close);
        return server;
    }

    /**
     * Makes a client, closed with this transport.
     *
     * @return the client
     * @throws IllegalStateException if this transport is closed
     */
    public FrameClient newClient() {
        requireOpen();
        FrameClient client = new JettyFrameClient(context);
        closeActions.add(client::close);
        return client;
    }

    /**
     * Returns what all connections of this transport carried and refused.
     *
     * @return the counters, live
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
     * Collects the settings of a transport.
     *
     * <p>Key and name must be set; the rest has defaults. Not thread-safe.
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
         * Sets the key that both sides must hold.
         *
         * @param value the key
         * @return this builder
         */
        public Builder key(SharedKey value) {
            key = value;
            return this;
        }

        /**
         * Sets the name that the other side hears.
         *
         * @param value instance id of an entry, or server name of a sidecar
         * @return this builder
         * @throws IllegalArgumentException if it is empty or longer than 255 characters
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
         * Sets the random number that this process drew when it started.
         *
         * @param value the number
         * @return this builder
         */
        public Builder incarnation(long value) {
            incarnation = value;
            return this;
        }

        /**
         * Sets what runs selectors and listeners; the transport's own threads if not set.
         *
         * @param value the executor, started, with some threads to spare for selectors
         * @return this builder
         */
        public Builder executor(Executor value) {
            executor = value;
            return this;
        }

        /**
         * Sets the longest frame.
         *
         * @param value the limit, 8 MiB if not set
         * @return this builder
         * @throws IllegalArgumentException if it is not positive
         */
        public Builder maximumFrameBytes(int value) {
            maximumFrameBytes = (int) requirePositive(value, "maximumFrameBytes");
            return this;
        }

        /**
         * Sets how much may wait to be written on one connection before it is closed.
         *
         * @param value the limit, 64 MiB if not set
         * @return this builder
         * @throws IllegalArgumentException if it is not positive
         */
        public Builder maximumQueuedBytes(long value) {
            maximumQueuedBytes = requirePositive(value, "maximumQueuedBytes");
            return this;
        }

        /**
         * Sets how long a handshake may take.
         *
         * @param value the limit, two seconds if not set
         * @return this builder
         * @throws IllegalArgumentException if it is not positive
         */
        public Builder handshakeTimeoutMillis(long value) {
            handshakeTimeoutMillis = requirePositive(value, "handshakeTimeoutMillis");
            return this;
        }

        /**
         * Sets how long a connect may take.
         *
         * @param value the limit, two seconds if not set
         * @return this builder
         * @throws IllegalArgumentException if it is not positive
         */
        public Builder connectTimeoutMillis(long value) {
            connectTimeoutMillis = requirePositive(value, "connectTimeoutMillis");
            return this;
        }

        /**
         * Builds the transport and starts its threads.
         *
         * @return the transport
         * @throws NullPointerException if key or name is not set
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
