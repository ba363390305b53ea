package dev.foxtailshed.daemon.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A client connector whose connections distinguish a reset from an orderly close, and are read in
 * turns.
 *
 * <p>Jetty's end point treats a reset as the end of input, so a response without a length would
 * look complete although its connection was reset.
 *
 * <p>Jetty's client parses all bytes that it can read before it handles what it has parsed. A
 * server that sends interim responses faster than they are parsed would fill the memory with them,
 * so that a connection appears to have no more bytes after each turn.
 */
class ResetAwareConnector extends ClientConnector {

    /** The size of the client's buffer; the parsed form of small messages takes many times more. */
    private static final int TURN_BYTES = 16 << 10;

    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    /**
     * An end point whose reads throw an exception if the connection was reset, and that reads only
     * so many bytes until the selector selects it again.
     */
    private static final class ResetAwareEndPoint extends SocketChannelEndPoint {

        private volatile int bytesInTurn;

        ResetAwareEndPoint(
                SocketChannel channel,
                ManagedSelector selector,
                SelectionKey key,
                Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        public Runnable onSelected() {
            bytesInTurn = 0;
            return super.onSelected();
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return -1;
            }
            if (bytesInTurn >= TURN_BYTES) {
                return 0;
            }
            int position = BufferUtil.flipToFill(buffer);
            int filled;
            try {
                filled = getChannel().read(buffer);
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
            if (filled > 0) {
                bytesInTurn += filled;
                notIdle();
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        }
    }

    /**
     * A connector that connects without TLS only: loading the TLS provider and its certificates
     * would take a fifth of the start of a process that never uses them.
     */
    static final class WithoutTls extends ResetAwareConnector {

        @Override
        protected SslContextFactory.Client newSslContextFactory() {
            return new UnloadedSslContextFactory();
        }
    }

    /** A factory that loads nothing, so that a request for an https address fails. */
    private static final class UnloadedSslContextFactory extends SslContextFactory.Client {

        @Override
        protected void doStart() {
            // The superclass loads certificates here.
        }
    }
}
