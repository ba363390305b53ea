package dev.foxtailshed.daemon.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Detects that a caller closed its connection while its request is being served.
 *
 * <p>Jetty does not read from an HTTP/1.1 connection between a request and its response, so it
 * would detect a close only at the next write, and a queued request writes nothing. The detector
 * reads during that time and passes the bytes of a pipelined request back to the connection. It
 * must be stopped before the response completes. Stopping and reading are mutually exclusive: if
 * the detector registered for further bytes after it was stopped, the connection could not register
 * for its next request and would close. Thread-safe.
 */
final class CallerDisconnectDetector implements Callback {

    private static final int BUFFER_BYTES = 1_024;

    private final EndPoint endPoint;
    private final Connection connection;
    private final Runnable onDisconnect;
    private final AtomicBoolean active = new AtomicBoolean(true);

    private CallerDisconnectDetector(Request request, Runnable onDisconnect) {
        this.connection = request.getConnectionMetaData().getConnection();
        this.endPoint = connection.getEndPoint();
        this.onDisconnect = onDisconnect;
    }

    /** Starts a detector on the connection of a request whose body has been read. */
    static CallerDisconnectDetector start(Request request, Runnable onDisconnect) {
        CallerDisconnectDetector detector = new CallerDisconnectDetector(request, onDisconnect);
        detector.endPoint.tryFillInterested(detector);
        return detector;
    }

    /** Stops the detector, so that the connection can read its next request. */
    synchronized void stop() {
        if (active.compareAndSet(true, false)
                && endPoint instanceof AbstractEndPoint abstractEndPoint) {
            abstractEndPoint
                    .getFillInterest()
                    .onFail(new CancellationException("detector stopped"));
        }
    }

    @Override
    public void succeeded() {
        if (readDetectsClose()) {
            disconnected();
        }
    }

    /**
     * Reads available bytes and returns whether the connection is closed.
     *
     * <p>Does nothing once the detector has stopped, since only the connection reads from then on.
     */
    private synchronized boolean readDetectsClose() {
        if (!active.get()) {
            return false;
        }
        ByteBuffer buffer = BufferUtil.allocate(BUFFER_BYTES);
        try {
            int filled = endPoint.fill(buffer);
            if (filled == 0) {
                endPoint.tryFillInterested(this);
            } else if (filled > 0 && connection instanceof Connection.UpgradeTo upgradable) {
                // A pipelined request: pass its bytes to the connection and stop detecting.
                active.set(false);
                upgradable.onUpgradeTo(buffer);
            }
            return filled < 0;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void failed(Throwable cause) {
        if (!(cause instanceof CancellationException)) {
            disconnected();
        }
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    private void disconnected() {
        if (active.compareAndSet(true, false)) {
            onDisconnect.run();
        }
    }
}
