package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Connection.Peer;
import dev.foxtailshed.wire.SharedKey;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The state shared by all servers, clients and connections of one transport.
 *
 * @param key the key with which both sides authenticate
 * @param self the identity that this process presents to its peers
 * @param codec the codec of all frames
 * @param counters the counters of all connections
 * @param executor the executor of selectors and listeners
 * @param scheduler the scheduler of handshake and connect timeouts
 * @param bufferPool the pool of network buffers
 * @param limits the limits of each connection
 */
public record TransportContext(
        SharedKey key,
        Peer self,
        FrameCodec codec,
        LongAdderCounters counters,
        Executor executor,
        Scheduler scheduler,
        ByteBufferPool bufferPool,
        Limits limits) {

    /**
     * The limits of each connection.
     *
     * @param maximumQueuedBytes the maximum number of bytes waiting to be written
     * @param handshakeTimeoutMillis the timeout of the handshake
     * @param connectTimeoutMillis the timeout of establishing the TCP connection
     */
    public record Limits(
            long maximumQueuedBytes, long handshakeTimeoutMillis, long connectTimeoutMillis) {}
}
