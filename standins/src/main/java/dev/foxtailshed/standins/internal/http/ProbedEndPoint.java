package dev.foxtailshed.standins.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An end point that can detect, while a request is being handled, that the caller has disconnected.
 *
 * <p>Jetty does not read from a connection between the end of a request and the end of its
 * response, so it does not detect a disconnect in that time. A probe reads at most one byte ahead,
 * which the next fill returns. Thread-safe.
 */
final class ProbedEndPoint extends SocketChannelEndPoint {

    private final Object fillLock = new Object();
    private final ByteBuffer readAhead = ByteBuffer.allocate(1);
    private boolean hasReadAhead;

    ProbedEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /** Returns whether the caller has disconnected; only to be used while a request is handled. */
    boolean probeClosed() {
        synchronized (fillLock) {
            if (hasReadAhead) {
                return false;
            }
            if (!isOpen()) {
                return true;
            }
            try {
                readAhead.clear();
                int count = getChannel().read(readAhead);
                hasReadAhead = count > 0;
                return count < 0;
            } catch (IOException e) {
                return true;
            }
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (fillLock) {
            if (!hasReadAhead) {
                return super.fill(buffer);
            }
            readAhead.flip();
            hasReadAhead = false;
            return BufferUtil.append(buffer, readAhead);
        }
    }

    @Override
    protected void needsFillInterest() {
        boolean fillableNow;
        synchronized (fillLock) {
            fillableNow = hasReadAhead;
        }
        if (fillableNow) {
            getFillInterest().fillable();
        } else {
            super.needsFillInterest();
        }
    }
}
