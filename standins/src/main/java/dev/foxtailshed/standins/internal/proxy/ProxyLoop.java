package dev.foxtailshed.standins.internal.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * The event loop of a proxy, one thread that forwards the bytes of all connections.
 *
 * <p>The public methods, the control methods and {@code execute} are thread-safe; all others run on
 * the thread of the loop.
 */
public final class ProxyLoop implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Selector selector;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final Queue<Runnable> commands = new ConcurrentLinkedQueue<>();
    private final Map<ProxiedConnection, Long> wakeTimesNanos = new HashMap<>();
    private final List<ServerSocketChannel> listeners = new ArrayList<>();
    private final List<ProxyPair> pairs = new ArrayList<>();
    private final ProxyCounts counts = new ProxyCounts();
    private volatile boolean open = true;

    /**
     * Creates a loop that is not running yet.
     *
     * @throws IOException if no selector can be opened
     */
    public ProxyLoop() throws IOException {
        selector = Selector.open();
    }

    /**
     * Adds a listen address; only to be used before the start.
     *
     * @param listen the address; with port 0 the system chooses one
     * @param target the address that connections are forwarded to
     * @return the address with the actual port
     * @throws IOException if the proxy cannot listen on the address
     */
    public InetSocketAddress listen(InetSocketAddress listen, InetSocketAddress target)
            throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        listeners.add(listener);
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(listen);
        listener.configureBlocking(false);
        InetSocketAddress address = (InetSocketAddress) listener.getLocalAddress();
        ProxyPair pair = new ProxyPair(address, target);
        pairs.add(pair);
        Handler handler = key -> accept(listener, pair);
        listener.register(selector, SelectionKey.OP_ACCEPT, handler);
        return address;
    }

    /** Starts the thread of the loop. */
    public void start() {
        Thread thread = new Thread(this::run, "proxy-loop");
        thread.setDaemon(true);
        thread.start();
    }

    /** Resets all connections and stops the thread. */
    @Override
    public void close() {
        open = false;
        selector.wakeup();
    }

    /** Sets the faults of one pair or of all; completes with false if no pair has that address. */
    CompletableFuture<Boolean> setFaults(Optional<String> listen, ProxyFaults faults) {
        return submit(
                () -> {
                    List<ProxyPair> matching =
                            pairs.stream().filter(p -> matches(p, listen)).toList();
                    matching.forEach(p -> p.setFaults(faults));
                    return !matching.isEmpty();
                });
    }

    /** Resets the connections of one pair or of all; false if no pair has that address. */
    CompletableFuture<Boolean> cutNow(Optional<String> listen) {
        return submit(
                () -> {
                    List<ProxyPair> matching =
                            pairs.stream().filter(p -> matches(p, listen)).toList();
                    matching.forEach(ProxyPair::resetAll);
                    return !matching.isEmpty();
                });
    }

    CompletableFuture<ProxyCounts.Snapshot> counts() {
        return submit(counts::snapshot);
    }

    void execute(Runnable command) {
        commands.add(command);
        selector.wakeup();
    }

    ByteBuffer buffer() {
        return buffer;
    }

    void wakeAt(ProxiedConnection connection, long timeNanos) {
        if (timeNanos == Flow.NEVER_NANOS) {
            wakeTimesNanos.remove(connection);
        } else {
            wakeTimesNanos.put(connection, timeNanos);
        }
    }

    static void closeQuietly(Closeable channel) {
        try {
            channel.close();
        } catch (IOException e) {
            Logger.debug(e, "close of a channel failed");
        }
    }

    private <T> CompletableFuture<T> submit(Supplier<T> supplier) {
        CompletableFuture<T> result = new CompletableFuture<>();
        execute(() -> result.complete(supplier.get()));
        return result;
    }

    private static boolean matches(ProxyPair pair, Optional<String> listen) {
        InetSocketAddress address = pair.listen();
        String text = address.getHostString() + ":" + address.getPort();
        return listen.isEmpty() || listen.get().equals(text);
    }

    private void run() {
        try {
            while (open) {
                waitForEvents();
                runCommands();
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid()) {
                        ((Handler) key.attachment()).onReady(key);
                    }
                }
                selector.selectedKeys().clear();
                pumpDue();
            }
            pairs.forEach(ProxyPair::resetAll);
            listeners.forEach(ProxyLoop::closeQuietly);
            selector.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void waitForEvents() throws IOException {
        if (wakeTimesNanos.isEmpty()) {
            selector.select();
            return;
        }
        long nowNanos = System.nanoTime();
        long waitNanos =
                wakeTimesNanos.values().stream().mapToLong(t -> t - nowNanos).min().orElse(0);
        if (waitNanos >= NANOS_PER_MILLI) {
            selector.select(waitNanos / NANOS_PER_MILLI);
            return;
        }
        // The timeout of the selector is in milliseconds, too coarse for the end of a delay.
        if (selector.selectNow() == 0 && waitNanos > 0) {
            LockSupport.parkNanos(waitNanos);
            selector.selectNow();
        }
    }

    private void runCommands() {
        Runnable command = commands.poll();
        while (command != null) {
            command.run();
            command = commands.poll();
        }
    }

    private void pumpDue() {
        long nowNanos = System.nanoTime();
        List<ProxiedConnection> due = new ArrayList<>();
        wakeTimesNanos.forEach(
                (connection, timeNanos) -> {
                    if (timeNanos - nowNanos <= 0) {
                        due.add(connection);
                    }
                });
        due.forEach(ProxiedConnection::pump);
    }

    private void accept(ServerSocketChannel listener, ProxyPair pair) {
        SocketChannel caller = null;
        SocketChannel target = null;
        try {
            caller = listener.accept();
            if (caller == null) {
                return;
            }
            if (pair.faults().refusesConnections()) {
                counts.refused++;
                ProxiedConnection.resetOnClose(caller);
                closeQuietly(caller);
                return;
            }
            target = SocketChannel.open();
            counts.accepted++;
            new ProxiedConnection(this, pair, counts, caller, target, selector).connect();
        } catch (IOException e) {
            Logger.warn(e, "accept of a connection failed");
            closeAll(caller, target);
        }
    }

    private static void closeAll(SocketChannel caller, SocketChannel target) {
        for (SocketChannel channel : new SocketChannel[] {caller, target}) {
            if (channel != null) {
                closeQuietly(channel);
            }
        }
    }

    /** A handler for the events of a channel. */
    interface Handler {

        /** Runs on the thread of the loop when the channel of the key is ready. */
        void onReady(SelectionKey key);
    }
}
