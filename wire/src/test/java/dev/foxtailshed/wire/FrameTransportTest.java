package dev.foxtailshed.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.wire.Message.AnswerPart;
import dev.foxtailshed.wire.Message.Challenge;
import dev.foxtailshed.wire.Message.Heartbeat;
import dev.foxtailshed.wire.Message.Hello;
import dev.foxtailshed.wire.internal.FrameCodec;
import dev.foxtailshed.wire.internal.FrameWriter;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests connections over the loopback address, with valid and invalid peers. */
class FrameTransportTest {

    static final SharedKey KEY = new SharedKey("a key for tests only");
    private static final InetSocketAddress ANY_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final List<FrameTransport> transports = new ArrayList<>();
    private final List<Recorder> accepted = new CopyOnWriteArrayList<>();

    @AfterEach
    void closeTransports() {
        transports.forEach(FrameTransport::close);
    }

    @Test
    void bothSidesReceivePeerIdentityAndCloseOnce() throws Exception {
        FrameTransport sidecar = transport(builder("llm-1").incarnation(5));
        FrameTransport entry = transport(builder("entry-1").incarnation(6));
        InetSocketAddress address = listen(sidecar);
        Recorder client = new Recorder();
        entry.newClient().connect(address, client);
        awaitUntil(() -> client.peer != null && !accepted.isEmpty());
        Recorder server = accepted.get(0);
        awaitUntil(() -> server.peer != null);

        client.connection.send(new Heartbeat(9));
        awaitUntil(() -> server.received() == 1);
        client.connection.close();

        awaitUntil(() -> !client.closeReasons.isEmpty() && !server.closeReasons.isEmpty());
        assertThat(client.peer).isEqualTo(new Connection.Peer("llm-1", 5));
        assertThat(server.peer).isEqualTo(new Connection.Peer("entry-1", 6));
        assertThat(server.messages).containsExactly(new Heartbeat(9));
        assertThat(client.connection.send(new Heartbeat(10))).isFalse();
        sidecar.close();
        entry.close();
        assertThat(client.closeReasons).hasSize(1);
        assertThat(server.closeReasons).hasSize(1);
        assertThat(sidecar.counters().framesIn()).isEqualTo(2);
        assertThat(entry.counters().bytesOut()).isEqualTo(sidecar.counters().bytesIn());
    }

    @Test
    void deliversMessagesOfManyThreadsInOrder() throws Exception {
        int threads = 8;
        int messagesPerThread = 12_500;
        InetSocketAddress address = listen(transport(builder("llm-1")));
        Recorder client = new Recorder();
        transport(builder("entry-1")).newClient().connect(address, client);
        awaitUntil(() -> client.peer != null);

        List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            int sender = i;
            senders.add(
                    new Thread(
                            () -> {
                                for (int n = 0; n < messagesPerThread; n++) {
                                    client.connection.send(part(sender, n, n % 700));
                                }
                            }));
        }
        senders.forEach(Thread::start);
        for (Thread sender : senders) {
            sender.join();
        }

        awaitUntil(() -> accepted.get(0).received() == threads * messagesPerThread);
        long[] next = new long[threads];
        for (Message message : accepted.get(0).messages) {
            AnswerPart part = (AnswerPart) message;
            int sender = (int) part.attemptId().sequence();
            assertThat(part.position()).isEqualTo(next[sender]++);
            int sizeBytes = (int) (part.position() % 700);
            assertThat(Arrays.equals(part.content(), content(part.position(), sizeBytes))).isTrue();
        }
        awaitUntil(() -> client.connection.queuedBytes() == 0);
        assertThat(accepted.get(0).overlapped).isFalse();
    }

    @Test
    void transfersFramesLargerThanBuffers() throws Exception {
        InetSocketAddress address = listen(transport(builder("llm-1")));
        Recorder client = new Recorder();
        transport(builder("entry-1")).newClient().connect(address, client);
        awaitUntil(() -> client.peer != null);

        for (int n = 0; n < 4; n++) {
            client.connection.send(part(0, n, 3_000_000));
            client.connection.send(part(0, n, 1));
        }

        awaitUntil(() -> accepted.get(0).received() == 8);
        for (int n = 0; n < 4; n++) {
            AnswerPart large = (AnswerPart) accepted.get(0).messages.get(2 * n);
            assertThat(large.position()).isEqualTo(n);
            assertThat(Arrays.equals(large.content(), part(0, n, 3_000_000).content())).isTrue();
        }
    }

    @ParameterizedTest
    @EnumSource(InvalidHello.class)
    void acceptorClosesAndCountsInvalidHandshakes(InvalidHello invalidHello) throws Exception {
        FrameTransport sidecar =
                transport(builder("llm-1").handshakeTimeoutMillis(invalidHello.timeoutMillis()));
        InetSocketAddress address = listen(sidecar);
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            byte[] challenge = in.readNBytes(in.readInt());
            byte[] nonce = Arrays.copyOfRange(challenge, 4, challenge.length);
            socket.getOutputStream().write(invalidHello.bytes(nonce));

            assertThat(in.readAllBytes()).isEmpty();
        }

        awaitUntil(() -> !accepted.get(0).closeReasons.isEmpty());
        sidecar.close();
        assertThat(accepted.get(0).closeReasons).hasSize(1);
        assertThat(accepted.get(0).peer).isNull();
        assertThat(accepted.get(0).messages).isEmpty();
        assertThat(sidecar.counters().malformedFrames()).isEqualTo(invalidHello.malformed ? 1 : 0);
        assertThat(sidecar.counters().refusedHandshakes())
                .isEqualTo(invalidHello.malformed ? 0 : 1);
    }

    @Test
    void wrongKeyClosesBothSides() throws Exception {
        FrameTransport sidecar = transport(builder("llm-1"));
        InetSocketAddress address = listen(sidecar);
        Recorder client = new Recorder();
        transport(builder("entry-1").key(new SharedKey("quite another key")))
                .newClient()
                .connect(address, client);

        awaitUntil(() -> !client.closeReasons.isEmpty() && !accepted.get(0).closeReasons.isEmpty());

        assertThat(accepted.get(0).closeReasons).containsExactly("handshake refused: wrong key");
        assertThat(client.peer).isNull();
        assertThat(sidecar.counters().refusedHandshakes()).isEqualTo(1);
    }

    @Test
    void connectorRefusesServerWithoutKey() throws Exception {
        FrameTransport entry = transport(builder("entry-1"));
        Recorder client = new Recorder();
        try (ServerSocket impostor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            entry.newClient().connect((InetSocketAddress) impostor.getLocalSocketAddress(), client);
            try (Socket socket = impostor.accept()) {
                OutputStream out = socket.getOutputStream();
                out.write(frame(new Challenge(SharedKey.newNonce())));
                out.write(frame(new Message.Welcome("llm-1", 1, new byte[32])));
                awaitUntil(() -> !client.closeReasons.isEmpty());
            }
        }
        assertThat(client.closeReasons).containsExactly("handshake refused: wrong key");
        assertThat(entry.counters().refusedHandshakes()).isEqualTo(1);
    }

    @Test
    void acceptsFramesByteByByteAndClosesOnMalformedFrame() throws Exception {
        FrameTransport sidecar = transport(builder("llm-1"));
        InetSocketAddress address = listen(sidecar);
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] challenge = in.readNBytes(in.readInt());
            byte[] nonce = Arrays.copyOfRange(challenge, 4, challenge.length);
            writeByteByByte(
                    out, frame(new Hello(1, "x", 1, InvalidHello.proof("x", nonce), new byte[32])));
            writeByteByByte(out, frame(part(1, 0, 500)));
            writeByteByByte(out, frame(new Heartbeat(2)));
            awaitUntil(() -> accepted.get(0).received() == 2);
            assertThat(accepted.get(0).peer).isEqualTo(new Connection.Peer("x", 1));

            out.write(frame(new Challenge(new byte[32])));
            in.skipNBytes(in.readInt());
            assertThat(in.readAllBytes()).isEmpty();
        }
        awaitUntil(() -> !accepted.get(0).closeReasons.isEmpty());
        assertThat(accepted.get(0).closeReasons)
                .hasSize(1)
                .first()
                .asString()
                .contains("Challenge");
        assertThat(sidecar.counters().malformedFrames()).isEqualTo(1);
        assertThat(sidecar.counters().refusedHandshakes()).isZero();
    }

    @Test
    void closingTransportClosesConnectionsAndFreesPort() throws Exception {
        FrameTransport first = transport(builder("llm-1").incarnation(1));
        InetSocketAddress address = listen(first);
        FrameClient client = transport(builder("entry-1")).newClient();
        List<Recorder> recorders = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            recorders.add(new Recorder());
            client.connect(address, recorders.get(i));
        }
        awaitUntil(() -> recorders.stream().allMatch(recorder -> recorder.peer != null));

        first.close();

        awaitUntil(() -> recorders.stream().noneMatch(recorder -> recorder.closeReasons.isEmpty()));
        assertThat(accepted).hasSize(20).allMatch(recorder -> recorder.closeReasons.size() == 1);
        assertThat(recorders).allMatch(recorder -> recorder.closeReasons.size() == 1);
        assertThatThrownBy(first::newClient).isInstanceOf(IllegalStateException.class);
        Recorder reconnected = new Recorder();
        transport(builder("llm-1").incarnation(2)).newServer().listen(address, Recorder::new);
        client.connect(address, reconnected);
        awaitUntil(() -> reconnected.peer != null);
        assertThat(reconnected.peer.incarnation()).isEqualTo(2);
    }

    @Test
    void messageSentJustBeforeCloseIsDelivered() throws Exception {
        Recorder server = new Recorder();
        server.reaction =
                message -> {
                    server.connection.send(message);
                    server.connection.close();
                };
        InetSocketAddress address =
                transport(builder("llm-1")).newServer().listen(ANY_PORT, () -> server);
        Recorder client = new Recorder();
        transport(builder("entry-1")).newClient().connect(address, client);
        awaitUntil(() -> client.peer != null);

        client.connection.send(new Heartbeat(4));

        awaitUntil(() -> !client.closeReasons.isEmpty() && !server.closeReasons.isEmpty());
        assertThat(client.messages).containsExactly(new Heartbeat(4));
        assertThat(client.overlapped || server.overlapped).isFalse();
    }

    @Test
    void listenerRepliesInOrderAndItsExceptionClosesConnection() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        FrameTransport sidecar = transport(builder("llm-1").executor(threads));
        Recorder server = new Recorder();
        server.reaction =
                message -> {
                    server.connection.send(message);
                    if (message.equals(new Heartbeat(999))) {
                        server.connection.send(new Heartbeat(1_000));
                    } else if (message.equals(new Heartbeat(-1))) {
                        throw new IllegalStateException("broken listener");
                    }
                };
        InetSocketAddress address = sidecar.newServer().listen(ANY_PORT, () -> server);
        Recorder client = new Recorder();
        transport(builder("entry-1")).newClient().connect(address, client);
        awaitUntil(() -> client.peer != null);

        for (int n = 0; n < 1_000; n++) {
            client.connection.send(new Heartbeat(n));
        }
        awaitUntil(() -> client.received() == 1_001);
        for (int n = 0; n <= 1_000; n++) {
            assertThat(client.messages.get(n)).isEqualTo(new Heartbeat(n));
        }
        client.connection.send(new Heartbeat(-1));

        awaitUntil(() -> !client.closeReasons.isEmpty() && !server.closeReasons.isEmpty());
        sidecar.close();
        threads.shutdown();
        assertThat(server.closeReasons).hasSize(1).first().asString().contains("broken listener");
        assertThat(threads.awaitTermination(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void failedConnectIsReportedOnce() throws Exception {
        FrameTransport entry = transport(builder("entry-1"));
        InetSocketAddress unused;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unused = (InetSocketAddress) socket.getLocalSocketAddress();
        }
        Recorder refused = new Recorder();
        Recorder late = new Recorder();
        Recorder unknown = new Recorder();
        FrameClient client = entry.newClient();

        client.connect(unused, refused);
        client.connect(InetSocketAddress.createUnresolved("host.invalid", 1), unknown);
        awaitUntil(() -> !refused.closeReasons.isEmpty() && !unknown.closeReasons.isEmpty());
        client.close();
        client.connect(unused, late);

        awaitUntil(() -> !late.closeReasons.isEmpty());
        entry.close();
        assertThat(refused.closeReasons).hasSize(1);
        assertThat(late.closeReasons).hasSize(1);
        assertThat(unknown.closeReasons).hasSize(1);
    }

    @Test
    void exceedingQueueLimitClosesConnection() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        long limitBytes = 4L * 1024 * 1024;
        FrameTransport sidecar = transport(builder("llm-1"));
        Recorder slow = new Recorder();
        slow.messageGate = release;
        InetSocketAddress address = sidecar.newServer().listen(ANY_PORT, () -> slow);
        Recorder client = new Recorder();
        transport(builder("entry-1").maximumQueuedBytes(limitBytes))
                .newClient()
                .connect(address, client);
        awaitUntil(() -> client.peer != null);

        int sent = 0;
        long mostQueuedBytes = 0;
        while (sent < 10_000 && client.connection.send(part(0, sent, 100_000))) {
            mostQueuedBytes = Math.max(mostQueuedBytes, client.connection.queuedBytes());
            sent++;
        }

        awaitUntil(() -> !client.closeReasons.isEmpty());
        assertThat(sent).isLessThan(10_000);
        assertThat(mostQueuedBytes).isPositive().isLessThanOrEqualTo(limitBytes);
        assertThat(client.closeReasons).hasSize(1).first().asString().contains("bytes waiting");
        awaitUntil(() -> client.connection.queuedBytes() == 0);
        release.countDown();
    }

    private FrameTransport transport(FrameTransport.Builder builder) {
        FrameTransport transport = builder.build();
        transports.add(transport);
        return transport;
    }

    private InetSocketAddress listen(FrameTransport transport) throws IOException {
        return transport
                .newServer()
                .listen(
                        ANY_PORT,
                        () -> {
                            Recorder recorder = new Recorder();
                            accepted.add(recorder);
                            return recorder;
                        });
    }

    private static FrameTransport.Builder builder(String name) {
        return FrameTransport.builder().key(KEY).name(name);
    }

    private static AnswerPart part(int sender, long position, int sizeBytes) {
        return new AnswerPart(
                new AttemptId(1, sender, 0), position, 1, content(position, sizeBytes));
    }

    private static byte[] content(long seed, int sizeBytes) {
        byte[] bytes = new byte[sizeBytes];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    static byte[] frame(Message message) {
        FrameWriter writer = new FrameWriter();
        new FrameCodec(1_000).encode(message, writer);
        return Arrays.copyOf(writer.array(), writer.sizeBytes());
    }

    private static void writeByteByByte(OutputStream out, byte[] frame) throws IOException {
        for (byte value : frame) {
            out.write(value);
            out.flush();
        }
    }

    private static void awaitUntil(BooleanSupplier condition) {
        await().until(condition::getAsBoolean);
    }

    /** A listener that records its calls and detects calls that overlap. */
    private static final class Recorder implements Connection.Listener {
        private final List<Message> messages = new ArrayList<>();
        private final List<String> closeReasons = new CopyOnWriteArrayList<>();
        private volatile Connection connection;
        private volatile Connection.Peer peer;
        private volatile int received;
        private volatile boolean inCallback;
        private volatile boolean overlapped;
        private volatile Consumer<Message> reaction = message -> {};
        private volatile CountDownLatch messageGate = new CountDownLatch(0);

        int received() {
            return received;
        }

        @Override
        public void onOpen(Connection newConnection, Connection.Peer other) {
            connection = newConnection;
            peer = other;
        }

        @Override
        public void onMessage(Connection from, Message message) {
            overlapped |= inCallback;
            inCallback = true;
            try {
                messageGate.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            messages.add(message);
            received = messages.size();
            inCallback = false;
            reaction.accept(message);
        }

        @Override
        public void onClose(Connection from, String reason) {
            overlapped |= inCallback;
            closeReasons.add(reason);
        }
    }
}
