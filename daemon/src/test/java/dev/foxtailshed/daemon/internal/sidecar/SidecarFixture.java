package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.SteppedTimerService;
import dev.foxtailshed.kernel.ledger.LedgerSettings;
import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.FrameServer;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.Message.Work;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** A sidecar with a stepped clock, a single thread and in-memory connections. */
final class SidecarFixture {

    static final long INCARNATION = 77;
    static final long LEASE_MILLIS = 1_000;
    static final long VERSION = 5;

    final SteppedTimerService timer = new SteppedTimerService();
    final FakeDriver driver = new FakeDriver();
    final FakeServer server = new FakeServer();
    final EventCollector events = new EventCollector();
    final Sidecar sidecar =
            new Sidecar(
                    new SidecarSettings(
                            "llm-1",
                            new InetSocketAddress("127.0.0.1", 0),
                            INCARNATION,
                            new LedgerSettings(100, 500, 400, LEASE_MILLIS, 60_000, 100, 1_000),
                            250,
                            20,
                            10,
                            500,
                            100,
                            64),
                    server,
                    driver,
                    timer,
                    Runnable::run,
                    document -> limits(new String(document)),
                    events);

    /** Starts a sidecar with a manifest and a backend server that holds no requests. */
    FakeConnection startWithEntry(long entryIncarnation) throws Exception {
        sidecar.start();
        driver.held.complete(Either.right(List.of()));
        FakeConnection entry = server.connect(entryIncarnation);
        entry.deliver(new Message.ManifestDocument(VERSION, "2,10".getBytes()));
        return entry;
    }

    private static Either<String, PoolLimits> limits(String document) {
        String[] numbers = document.split(",");
        return numbers.length < 2
                ? Either.left("malformed")
                : Either.right(
                        new PoolLimits(Integer.parseInt(numbers[0]), Integer.parseInt(numbers[1])));
    }

    /** Records started work and lets the test complete it. */
    static final class FakeDriver implements BackendDriver {
        final Map<AttemptId, BackendListener> started = new LinkedHashMap<>();
        final Map<AttemptId, CompletableFuture<Void>> cancelled = new LinkedHashMap<>();
        final Map<String, CompletableFuture<Void>> released = new LinkedHashMap<>();
        CompletableFuture<Either<String, List<String>>> held = new CompletableFuture<>();

        @Override
        public void start(AttemptId id, Work work, BackendListener listener) {
            if (started.put(id, listener) != null) {
                throw new AssertionError("started twice: " + id);
            }
        }

        @Override
        public CompletableFuture<Void> cancel(AttemptId id) {
            return cancelled.computeIfAbsent(id, key -> new CompletableFuture<>());
        }

        @Override
        public CompletableFuture<Either<String, List<String>>> heldRequests() {
            return held;
        }

        @Override
        public CompletableFuture<Void> release(String requestId) {
            return released.computeIfAbsent(requestId, key -> new CompletableFuture<>());
        }
    }

    /** Creates connections on request of the test. */
    static final class FakeServer implements FrameServer {
        private Supplier<Connection.Listener> listeners;
        boolean closed;

        @Override
        public InetSocketAddress listen(
                InetSocketAddress address, Supplier<Connection.Listener> supplier) {
            listeners = supplier;
            return address;
        }

        FakeConnection connect(long entryIncarnation) {
            FakeConnection connection = new FakeConnection(listeners.get());
            connection.listener.onOpen(connection, new Connection.Peer("e", entryIncarnation));
            return connection;
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    /** Collects the messages that the sidecar sends. */
    static final class FakeConnection implements Connection {
        final List<Message> sent = new ArrayList<>();
        private final Listener listener;
        long queuedBytes;
        boolean open = true;

        FakeConnection(Listener listener) {
            this.listener = listener;
        }

        void deliver(Message message) {
            listener.onMessage(this, message);
        }

        /** Returns the messages sent since the last call, without heartbeats and load reports. */
        List<Message> takeWorkMessages() {
            List<Message> answers =
                    sent.stream()
                            .filter(message -> !(message instanceof Message.LoadReport))
                            .filter(message -> !(message instanceof Message.Heartbeat))
                            .toList();
            sent.clear();
            return answers;
        }

        @Override
        public boolean send(Message message) {
            return open && sent.add(message);
        }

        @Override
        public void close() {
            if (open) {
                open = false;
                listener.onClose(this, "closed");
            }
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public long queuedBytes() {
            return queuedBytes;
        }
    }

    /** Collects one line for each event. */
    static final class EventCollector implements SidecarEvents {
        final List<String> lines = new ArrayList<>();

        @Override
        public void started(InetSocketAddress address) {
            lines.add("started");
        }

        @Override
        public void entryConnected(Connection.Peer entry) {
            lines.add("connected");
        }

        @Override
        public void entryDisconnected(Connection.Peer entry, String reason) {
            lines.add("disconnected");
        }

        @Override
        public void protocolViolated(Connection.Peer entry, String reason) {
            lines.add("violated " + reason);
        }

        @Override
        public void leaseExpired(long entryIncarnation) {
            lines.add("lease " + entryIncarnation);
        }

        @Override
        public void grantExpired(AttemptId id) {
            lines.add("grant " + id.label());
        }

        @Override
        public void workFailed(AttemptId id, RequestFailure failure) {
            lines.add("failed " + id.label());
        }

        @Override
        public void orphanReleased(String requestId) {
            lines.add("orphan " + requestId);
        }

        @Override
        public void backendUnreachable(String reason) {
            lines.add("unreachable " + reason);
        }

        @Override
        public void manifestApplied(long version, PoolLimits limits) {
            lines.add("applied " + version);
        }

        @Override
        public void manifestRejected(long version, String reason) {
            lines.add("rejected " + version);
        }

        @Override
        public void drainStarted() {
            lines.add("drain");
        }

        @Override
        public void drainFinished() {
            lines.add("drained");
        }
    }
}
