package dev.foxtailshed.standins.internal.proxy;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * The connection of a caller and the corresponding connection to the target.
 *
 * <p>Not thread-safe; confined to the thread of the {@link ProxyLoop}.
 */
final class ProxiedConnection implements ProxyLoop.Handler {

    private final ProxyLoop loop;
    private final ProxyPair pair;
    private final ProxyCounts counts;
    private final SocketChannel caller;
    private final SocketChannel target;
    private final SelectionKey callerKey;
    private final SelectionKey targetKey;
    private final Flow toTarget;
    private final Flow toCaller;
    private boolean connected;
    private boolean closed;

    ProxiedConnection(
            ProxyLoop loop,
            ProxyPair pair,
            ProxyCounts counts,
            SocketChannel caller,
            SocketChannel target,
            Selector selector)
            throws IOException {
        this.loop = loop;
        this.pair = pair;
        this.counts = counts;
        this.caller = caller;
        this.target = target;
        this.callerKey = register(caller, selector);
        this.targetKey = register(target, selector);
        this.toTarget = new Flow(Direction.TO_TARGET, caller, target, pair, counts);
        this.toCaller = new Flow(Direction.TO_CALLER, target, caller, pair, counts);
    }

    /** Starts connecting to the target. */
    void connect() {
        pair.add(this);
        counts.open++;
        try {
            connected = target.connect(pair.target());
            if (connected) {
                pump();
            } else {
                targetKey.interestOps(SelectionKey.OP_CONNECT);
            }
        } catch (IOException e) {
            reset();
        }
    }

    @Override
    public void onReady(SelectionKey key) {
        if (closed) {
            return;
        }
        if (!connected && !finishConnect()) {
            return;
        }
        if (key.isReadable()) {
            (key == callerKey ? toTarget : toCaller).read(loop.buffer());
        }
        pump();
    }

    /** Writes the bytes that are due and registers for the next event or due time. */
    void pump() {
        if (closed || !connected) {
            return;
        }
        long nowNanos = System.nanoTime();
        long dueToTargetNanos = write(toTarget, toCaller, nowNanos);
        long dueToCallerNanos = write(toCaller, toTarget, nowNanos);
        if (!closed && toTarget.hasEnded() && toCaller.hasEnded()) {
            close();
        }
        if (closed) {
            return;
        }
        callerKey.interestOps(interestSet(toTarget, toCaller));
        targetKey.interestOps(interestSet(toCaller, toTarget));
        loop.wakeAt(this, earliest(dueToTargetNanos, dueToCallerNanos));
    }

    /** Closes both sides with a reset. */
    void reset() {
        if (closed) {
            return;
        }
        counts.reset++;
        resetOnClose(caller);
        resetOnClose(target);
        close();
    }

    static void resetOnClose(SocketChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // The peer has already reset the connection.
            return;
        }
    }

    private long write(Flow flow, Flow reverse, long nowNanos) {
        if (closed) {
            return Flow.NEVER_NANOS;
        }
        try {
            return flow.write(nowNanos);
        } catch (Flow.ResetException e) {
            reset();
        } catch (IOException e) {
            flow.abandon();
            reverse.onSourceEnded(Flow.Chunk.Kind.RESET);
            loop.execute(this::pump);
        }
        return Flow.NEVER_NANOS;
    }

    private boolean finishConnect() {
        try {
            connected = target.finishConnect();
        } catch (IOException e) {
            reset();
        }
        return connected;
    }

    private void close() {
        closed = true;
        counts.open--;
        pair.remove(this);
        loop.wakeAt(this, Flow.NEVER_NANOS);
        ProxyLoop.closeQuietly(caller);
        ProxyLoop.closeQuietly(target);
    }

    private static int interestSet(Flow out, Flow in) {
        int read = out.canRead() ? SelectionKey.OP_READ : 0;
        int write = in.isSinkBlocked() ? SelectionKey.OP_WRITE : 0;
        return read | write;
    }

    private static long earliest(long first, long second) {
        if (first == Flow.NEVER_NANOS || second == Flow.NEVER_NANOS) {
            return first == Flow.NEVER_NANOS ? second : first;
        }
        return first - second < 0 ? first : second;
    }

    private SelectionKey register(SocketChannel channel, Selector selector) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        return channel.register(selector, 0, this);
    }
}
