package dev.foxtailshed.wire.internal;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.RetainableByteBuffer;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.IteratingCallback;

/**
 * A queue of frames from many threads, written to the endpoint in order and in batches.
 *
 * <p>Thread-safe. The lock is held only while frames are copied in or a batch is taken out, not
 * during a write.
 */
final class WriteQueue extends IteratingCallback {

    private static final int CHUNK_BYTES = 32 * 1024;
    private static final int MAXIMUM_BATCH_CHUNKS = 16;

    private final EndPoint endPoint;
    private final ByteBufferPool bufferPool;
    private final long maximumQueuedBytes;
    private final LongAdderCounters counters;
    private final Executor executor;
    private final Consumer<Throwable> onFailure;
    private final Runnable flush = this::flush;
    private final AtomicBoolean flushRequested = new AtomicBoolean();
    private final AtomicLong queuedBytes = new AtomicLong();
    private final Object lock = new Object();
    private final Deque<RetainableByteBuffer> waitingChunks = new ArrayDeque<>();
    private final List<RetainableByteBuffer> inFlightChunks = new ArrayList<>(MAXIMUM_BATCH_CHUNKS);
    private long inFlightBytes;
    private boolean closed;

    /** The result of appending a frame. */
    enum AppendResult {
        /** The frame was queued. */
        QUEUED,
        /** The frame was rejected because the queue is closed. */
        CLOSED,
        /** The frame was rejected because it would exceed the queue limit. */
        FULL
    }

    WriteQueue(
            EndPoint endPoint,
            ByteBufferPool bufferPool,
            long maximumQueuedBytes,
            LongAdderCounters counters,
            Executor executor,
            Consumer<Throwable> onFailure) {
        this.endPoint = endPoint;
        this.bufferPool = bufferPool;
        this.maximumQueuedBytes = maximumQueuedBytes;
        this.counters = counters;
        this.executor = executor;
        this.onFailure = onFailure;
    }

    /** Copies a frame into the queue; {@link #scheduleFlush} or {@link #iterate} writes it. */
    AppendResult append(byte[] bytes, int sizeBytes) {
        synchronized (lock) {
            if (closed) {
                return AppendResult.CLOSED;
            }
            if (queuedBytes.get() + sizeBytes > maximumQueuedBytes) {
                return AppendResult.FULL;
            }
            queuedBytes.addAndGet(sizeBytes);
            appendBytes(bytes, sizeBytes);
            return AppendResult.QUEUED;
        }
    }

    /**
     * Schedules a write of all queued frames on the executor, so that frames queued in quick
     * succession share a write.
     */
    void scheduleFlush() {
        if (flushRequested.compareAndSet(false, true)) {
            ListenerGate.runOutsideCaller(executor, flush);
        }
    }

    long queuedBytes() {
        return queuedBytes.get();
    }

    /**
     * Closes the queue and discards the waiting frames; a write in progress releases its own
     * buffers when it completes.
     */
    void closeAndDiscard() {
        synchronized (lock) {
            closed = true;
            for (RetainableByteBuffer chunk : waitingChunks) {
                queuedBytes.addAndGet(-chunk.remaining());
                chunk.release();
            }
            waitingChunks.clear();
        }
    }

    @Override
    protected Action process() {
        ByteBuffer[] batch = takeBatch();
        if (batch.length == 0) {
            return Action.IDLE;
        }
        endPoint.write(this, batch);
        return Action.SCHEDULED;
    }

    @Override
    protected void onSuccess() {
        counters.addBytesOut(inFlightBytes);
        releaseInFlight();
    }

    @Override
    protected void onCompleteFailure(Throwable cause) {
        releaseInFlight();
        onFailure.accept(cause);
    }

    private void flush() {
        // Cleared before writing: a frame appended earlier is written by this pass, and a later one
        // schedules another flush.
        flushRequested.set(false);
        iterate();
    }

    private void releaseInFlight() {
        inFlightChunks.forEach(RetainableByteBuffer::release);
        inFlightChunks.clear();
        queuedBytes.addAndGet(-inFlightBytes);
        inFlightBytes = 0;
    }

    private ByteBuffer[] takeBatch() {
        synchronized (lock) {
            ByteBuffer[] batch =
                    new ByteBuffer[Math.min(MAXIMUM_BATCH_CHUNKS, waitingChunks.size())];
            for (int i = 0; i < batch.length; i++) {
                RetainableByteBuffer chunk = waitingChunks.removeFirst();
                inFlightChunks.add(chunk);
                inFlightBytes += chunk.remaining();
                batch[i] = chunk.getByteBuffer();
            }
            return batch;
        }
    }

    private void appendBytes(byte[] bytes, int sizeBytes) {
        int offset = 0;
        while (offset < sizeBytes) {
            ByteBuffer tail = tailWithSpace();
            int partBytes = Math.min(sizeBytes - offset, BufferUtil.space(tail));
            BufferUtil.append(tail, bytes, offset, partBytes);
            offset += partBytes;
        }
    }

    private ByteBuffer tailWithSpace() {
        RetainableByteBuffer tail = waitingChunks.peekLast();
        if (tail == null || BufferUtil.space(tail.getByteBuffer()) == 0) {
            tail = bufferPool.acquire(CHUNK_BYTES, true);
            waitingChunks.addLast(tail);
        }
        return tail.getByteBuffer();
    }
}
