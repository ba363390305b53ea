package dev.foxtailshed.bench.slopes;

import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.FrameTransport;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.SharedKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stub peers of a process under measurement, each with its own transport.
 *
 * <p>Sends the same messages periodically on all open connections, as sidecars and entries do.
 * Thread-safe after all peers have been added.
 */
final class StubPeers implements AutoCloseable {

    static final String KEY = "slopes-measurement-key";

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final ExecutorService executor =
            Executors.newCachedThreadPool(StubPeers::newDaemonThread);
    private final ScheduledExecutorService heartbeat =
            Executors.newSingleThreadScheduledExecutor(StubPeers::newDaemonThread);
    private final List<FrameTransport> transports = new ArrayList<>();
    private final List<Connection> openConnections = new CopyOnWriteArrayList<>();
    private final List<Message> heartbeatMessages;

    StubPeers(long heartbeatMillis, List<Message> heartbeatMessages) {
        this.heartbeatMessages = heartbeatMessages;
        heartbeat.scheduleAtFixedRate(
                this::sendAll, heartbeatMillis, heartbeatMillis, TimeUnit.MILLISECONDS);
    }

    /** Starts a server that acts as a sidecar, and returns its address. */
    InetSocketAddress listen(String name) throws IOException {
        return transport(name).newServer().listen(ANY_PORT, Listener::new);
    }

    /** Connects to a sidecar as an entry. */
    void connect(String name, InetSocketAddress sidecar) {
        transport(name).newClient().connect(sidecar, new Listener());
    }

    int connectionCount() {
        return openConnections.size();
    }

    void sendOnce(Message message) {
        openConnections.get(0).send(message);
    }

    /** Returns the bytes that the process under measurement has sent and received. */
    long transferredBytes() {
        return transports.stream()
                .mapToLong(t -> t.counters().bytesIn() + t.counters().bytesOut())
                .sum();
    }

    @Override
    public void close() {
        heartbeat.shutdownNow();
        transports.forEach(FrameTransport::close);
        executor.shutdownNow();
    }

    private FrameTransport transport(String name) {
        FrameTransport transport =
                FrameTransport.builder()
                        .key(new SharedKey(KEY))
                        .name(name)
                        .incarnation(transports.size() + 1)
                        .executor(executor)
                        .build();
        transports.add(transport);
        return transport;
    }

    private void sendAll() {
        for (Connection connection : openConnections) {
            heartbeatMessages.forEach(connection::send);
        }
    }

    private static Thread newDaemonThread(Runnable task) {
        Thread thread = new Thread(null, task, "stub", 256 * 1024);
        thread.setDaemon(true);
        return thread;
    }

    private final class Listener implements Connection.Listener {

        @Override
        public void onOpen(Connection connection, Connection.Peer peer) {
            openConnections.add(connection);
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            // Received bytes are counted by the transport.
        }

        @Override
        public void onClose(Connection connection, String reason) {
            openConnections.remove(connection);
        }
    }
}
