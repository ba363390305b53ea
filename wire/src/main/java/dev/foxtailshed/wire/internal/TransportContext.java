package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Connection.Peer;
import dev.foxtailshed.wire.SharedKey;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * What all servers, clients and connections of one transport share.
 *
 * @param key proves both sides
 * @param self how this process names itself
 * @param codec encodes and decodes
 * @param counters counts
 * @param executor runs selectors and listeners
 * @param scheduler watches handshakes and connects
 * @param bufferPool lends buffers
 * @param limits bounds
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
     * Bounds of each connection.
     *
     * @param maximumQueuedBytes what may wait to be written
     * @param handshakeTimeoutMillis how long a handshake may take
     * @param connectTimeoutMillis how long a connect may take
     */
    public record Limits(
            long maximumQueuedBytes, long handshakeTimeoutMillis, long connectTimeoutMillis) {}
}
