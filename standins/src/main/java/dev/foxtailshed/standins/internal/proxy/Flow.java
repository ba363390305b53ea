package dev.foxtailshed.standins.internal.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * One direction of a proxied connection: its queued bytes, followed by its end or reset.
 *
 * <p>Not thread-safe; confined to the thread of the {@link ProxyLoop}.
 */
final class Flow {

    static final long NEVER_NANOS = Long.MAX_VALUE;

    private static final int MAXIMUM_QUEUED_BYTES = 256 * 1024;
    private static final int MINIMUM_READ_BYTES = 64;
    private static final long READS_PER_SECOND = 50;

    private final Direction direction;
    private final SocketChannel source;
    private final SocketChannel sink;
    private final ProxyPair pair;
    private final ProxyCounts counts;
    private final ArrayDeque<Chunk> queue = new ArrayDeque<>();
    private long queuedBytes;
    private long lastDueNanos;
    private boolean sourceEnded;
    private boolean ended;
    private boolean sinkBlocked;

    Flow(
            Direction direction,
            SocketChannel source,
            SocketChannel sink,
            ProxyPair pair,
            ProxyCounts counts) {
        this.direction = direction;
        this.source = source;
        this.sink = sink;
        this.pair = pair;
        this.counts = counts;
        this.lastDueNanos = System.nanoTime();
    }

    boolean canRead() {
        return !sourceEnded && queuedBytes < MAXIMUM_QUEUED_BYTES;
    }

    boolean isSinkBlocked() {
        return sinkBlocked;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Reads once from the source and queues or discards the bytes. */
    void read(ByteBuffer buffer) {
        buffer.clear();
        if (pair.faults().isRateLimited(direction)) {
            long slice = pair.faults().bytesPerSecond() / READS_PER_SECOND;
            long limit = Math.max(MINIMUM_READ_BYTES, Math.min(buffer.capacity(), slice));
            buffer.limit((int) limit);
        }
        try {
            int count = source.read(buffer);
            if (count < 0) {
                onSourceEnded(Chunk.Kind.END);
            } else if (pair.faults().discards(direction)) {
                counts.bytesSwallowed += count;
            } else if (count > 0 && !ended) {
                buffer.flip();
                enqueue(Chunk.Kind.BYTES, ByteBuffer.allocate(count).put(buffer).flip());
            }
        } catch (IOException e) {
            onSourceEnded(Chunk.Kind.RESET);
        }
    }

    /** Marks the source as ended and queues its end or reset. */
    void onSourceEnded(Chunk.Kind kind) {
        sourceEnded = true;
        if (pair.faults().discards(direction)) {
            ended = true;
        } else if (!ended) {
            enqueue(kind, ByteBuffer.allocate(0));
        }
    }

    /**
     * Writes the chunks that are due.
     *
     * @return the time when the next chunk is due, or {@link #NEVER_NANOS}
     * @throws ResetException if a reset is due
     * @throws IOException if the write to the sink fails
     */
    long write(long nowNanos) throws IOException {
        sinkBlocked = false;
        if (pair.faults().isFrozen(direction)) {
            return NEVER_NANOS;
        }
        while (!queue.isEmpty()) {
            Chunk head = queue.peek();
            if (head.dueNanos() - nowNanos > 0) {
                return head.dueNanos();
            }
            if (head.kind() == Chunk.Kind.RESET) {
                throw new ResetException();
            }
            int written = sink.write(head.bytes());
            queuedBytes -= written;
            counts.addPassed(direction, written);
            if (head.bytes().hasRemaining()) {
                sinkBlocked = true;
                return NEVER_NANOS;
            }
            queue.remove();
            if (head.kind() == Chunk.Kind.END) {
                ended = true;
                sink.shutdownOutput();
            }
        }
        return NEVER_NANOS;
    }

    /** Discards all queued and future bytes, after a write to the sink has failed. */
    void abandon() {
        queue.clear();
        queuedBytes = 0;
        sinkBlocked = false;
        ended = true;
    }

    private void enqueue(Chunk.Kind kind, ByteBuffer bytes) {
        ProxyFaults faults = pair.faults();
        long arrivalNanos = System.nanoTime() + faults.delayNanos(direction);
        long startNanos = lastDueNanos - arrivalNanos > 0 ? lastDueNanos : arrivalNanos;
        lastDueNanos = startNanos + faults.transferNanos(direction, bytes.remaining());
        queuedBytes += bytes.remaining();
        queue.add(new Chunk(kind, bytes, lastDueNanos));
    }

    /** A queued item and the time when it is due at the sink. */
    record Chunk(Kind kind, ByteBuffer bytes, long dueNanos) {

        /** The kind of a chunk: bytes, the end of the stream or a reset. */
        enum Kind {
            BYTES,
            END,
            RESET
        }
    }

    /** Thrown when a reset is due at the sink. */
    static final class ResetException extends IOException {}
}
