package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.Message;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection over a Jetty endpoint, which starts with the handshake and then carries frames in
 * both directions.
 *
 * <p>Thread-safe.
 */
final class FrameConnection extends AbstractConnection
        implements Connection, OpenConnections.Member {

    private static final ThreadLocal<FrameWriter> WRITERS =
            ThreadLocal.withInitial(FrameWriter::new);

    /**
     * The number of queued bytes up to which frames sent by the reading thread are deferred, so
     * that they share one write.
     */
    private static final long MAXIMUM_DEFERRED_BYTES = 64 * 1024;

    private final TransportContext context;
    private final Handshake handshake;
    private final Connection.Listener listener;
    private final OpenConnections openConnections;
    private final FrameAssembler assembler;
    private final WriteQueue writeQueue;
    private final ListenerGate listenerGate;
    private final AtomicReference<String> closeReason = new AtomicReference<>();
    private volatile boolean established;
    private volatile Thread readingThread;
    private volatile Scheduler.Task handshakeTimeout = () -> false;

    FrameConnection(
            EndPoint endPoint,
            TransportContext context,
            Handshake handshake,
            Connection.Listener listener,
            OpenConnections openConnections) {
        super(endPoint, context.executor());
        this.context = context;
        this.handshake = handshake;
        this.listener = listener;
        this.openConnections = openConnections;
        this.assembler = new FrameAssembler(context.codec());
        this.writeQueue =
                new WriteQueue(
                        endPoint,
                        context.bufferPool(),
                        context.limits().maximumQueuedBytes(),
                        context.counters(),
                        context.executor(),
                        cause -> closeWith("write failed: " + cause));
        this.listenerGate =
                new ListenerGate(
                        context.executor(), () -> listener.onClose(this, closeReason.get()));
    }

    @Override
    public boolean send(Message message) {
        if (!isOpen()) {
            return false;
        }
        FrameWriter writer = WRITERS.get();
        context.codec().encode(message, writer);
        switch (writeQueue.append(writer.array(), writer.sizeBytes())) {
            case QUEUED:
                context.counters().countFrameOut();
                if (readingThread != Thread.currentThread()) {
                    writeQueue.scheduleFlush();
                } else if (writeQueue.queuedBytes() > MAXIMUM_DEFERRED_BYTES) {
                    writeQueue.iterate();
                }
                return true;
            case FULL:
                closeWith("more than " + context.limits().maximumQueuedBytes() + " bytes waiting");
                return false;
            default:
                return false;
        }
    }

    @Override
    public boolean isOpen() {
        return closeReason.get() == null;
    }

    @Override
    public long queuedBytes() {
        return writeQueue.queuedBytes();
    }

    @Override
    public void close() {
        // Writes frames that were queued just before the close.
        writeQueue.iterate();
        closeWith("closed by this side");
    }

    @Override
    public void closeWith(String reason) {
        if (closeReason.compareAndSet(null, reason)) {
            handshakeTimeout.cancel();
            openConnections.remove(this);
            writeQueue.closeAndDiscard();
            getEndPoint().close();
            listenerGate.close();
        }
    }

    @Override
    public void onOpen() {
        super.onOpen();
        handshakeTimeout =
                context.scheduler()
                        .schedule(
                                this::onHandshakeTimeout,
                                context.limits().handshakeTimeoutMillis(),
                                TimeUnit.MILLISECONDS);
        if (!isOpen()) {
            handshakeTimeout.cancel();
            return;
        }
        handshake.start(this::send);
        fillInterested();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        closeWith(cause == null ? "closed" : "closed: " + cause);
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        closeWith("read failed: " + cause);
    }

    @Override
    public void onFillable() {
        if (!listenerGate.tryEnter()) {
            return;
        }
        try {
            readAvailable();
        } catch (MalformedFrameException e) {
            context.counters().countMalformedFrame();
            closeWith("malformed frame: " + e.getMessage());
        } catch (RefusedHandshakeException e) {
            context.counters().countRefusedHandshake();
            closeWith("handshake refused: " + e.getMessage());
        } catch (IOException e) {
            closeWith("read failed: " + e);
        } catch (RuntimeException e) {
            closeWith("listener failed: " + e);
        } catch (Error e) {
            // No further read is scheduled: without the close, the connection would stay open but
            // receive nothing.
            closeWith("listener failed: " + e);
            throw e;
        } finally {
            listenerGate.exit();
        }
        if (isOpen()) {
            fillInterested();
        }
    }

    private void readAvailable()
            throws IOException, MalformedFrameException, RefusedHandshakeException {
        while (isOpen()) {
            int filledBytes = assembler.fill(getEndPoint());
            if (filledBytes < 0) {
                closeWith("closed by the other side");
            }
            if (filledBytes <= 0) {
                return;
            }
            context.counters().addBytesIn(filledBytes);
            processFrames();
        }
    }

    private void processFrames() throws MalformedFrameException, RefusedHandshakeException {
        readingThread = Thread.currentThread();
        try {
            while (isOpen() && assembler.hasFrame(frameLimitBytes())) {
                Message message = assembler.decodeFrame();
                context.counters().countFrameIn();
                receive(message);
            }
        } finally {
            readingThread = null;
            writeQueue.iterate();
        }
    }

    private int frameLimitBytes() {
        int maximumFrameBytes = context.codec().maximumFrameBytes();
        return established
                ? maximumFrameBytes
                : Math.min(maximumFrameBytes, Handshake.MAXIMUM_FRAME_BYTES);
    }

    private void receive(Message message)
            throws MalformedFrameException, RefusedHandshakeException {
        if (!established) {
            continueHandshake(message);
            return;
        }
        if (message instanceof Message.Challenge
                || message instanceof Message.Hello
                || message instanceof Message.Welcome) {
            throw new MalformedFrameException(
                    message.getClass().getSimpleName(),
                    "type",
                    "no handshake message after the handshake");
        }
        listener.onMessage(this, message);
    }

    private void continueHandshake(Message message) throws RefusedHandshakeException {
        Optional<Peer> peer = handshake.receive(message, this::send);
        if (peer.isPresent()) {
            established = true;
            handshakeTimeout.cancel();
            listener.onOpen(this, peer.get());
        }
    }

    private void onHandshakeTimeout() {
        if (!established && isOpen()) {
            context.counters().countRefusedHandshake();
            closeWith(
                    "handshake not completed within "
                            + context.limits().handshakeTimeoutMillis()
                            + " ms");
        }
    }
}
