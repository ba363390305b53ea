package dev.foxtailshed.daemon.internal.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import dev.foxtailshed.daemon.internal.http.BackendHttpClients;
import dev.foxtailshed.daemon.internal.timer.ExecutorTimerService;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.ledger.LedgerSettings;
import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.FrameTransport;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.SharedKey;
import dev.foxtailshed.wire.WorkKind;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;

/** Tests a sidecar over the real transport in front of a real HTTP server. */
class SidecarOverTcpTest {

    private static final SharedKey KEY = new SharedKey("a key of the tests only");
    private static final AttemptId ID = new AttemptId(1, 1, 0);
    private static final int LARGE_BYTES = 4 << 20;

    private final List<Message> received = new CopyOnWriteArrayList<>();
    private volatile Connection connection;
    private volatile boolean closed;

    @Test
    void largeAnswerArrivesCompletelyWhileTheSidecarDrains() throws Exception {
        TestBackend backend = new TestBackend();
        HttpClient httpClient = BackendHttpClients.newClient();
        httpClient.start();
        ExecutorService executor = Executors.newSingleThreadExecutor();
        try (ExecutorTimerService timer = new ExecutorTimerService();
                FrameTransport serverSide = transport("s", 2);
                FrameTransport entrySide = transport("e", 1)) {
            URI url = URI.create("http://127.0.0.1:" + backend.port());
            PlainServiceDriver driver = new PlainServiceDriver(httpClient, url);
            Sidecar sidecar =
                    new Sidecar(
                            settings(),
                            serverSide.newServer(),
                            driver,
                            timer,
                            executor,
                            document -> Either.right(new PoolLimits(1, 0)),
                            new SidecarFixture.EventCollector());
            InetSocketAddress address = sidecar.start();
            entrySide.newClient().connect(address, new MessageCollector());
            await().until(() -> connection != null);
            connection.send(new Message.ManifestDocument(1, new byte[0]));
            await().until(() -> freeSlots() == 1);

            connection.send(new Message.Dispatch(offer(), call()));
            await().until(() -> received.stream().anyMatch(Message.AnswerHead.class::isInstance));
            sidecar.drain().get();
            await().until(() -> closed);

            assertThat(answerBytes()).isEqualTo(LARGE_BYTES);
            assertThat(received).anyMatch(Message.AnswerEnd.class::isInstance);
            sidecar.close();
        } finally {
            executor.shutdown();
            httpClient.stop();
            backend.close();
        }
    }

    private int freeSlots() {
        return received.stream()
                .filter(Message.LoadReport.class::isInstance)
                .mapToInt(report -> ((Message.LoadReport) report).freeSlots())
                .reduce(0, (earlier, later) -> later);
    }

    private int answerBytes() {
        int bytes = 0;
        long position = 0;
        for (Message message : received) {
            if (message instanceof Message.AnswerPart part) {
                assertThat(part.position()).isEqualTo(position++);
                bytes += part.content().length;
            }
        }
        return bytes;
    }

    private static SidecarSettings settings() {
        return new SidecarSettings(
                "s",
                new InetSocketAddress("127.0.0.1", 0),
                2,
                new LedgerSettings(1_000, 0, 1_000, 30_000, 60_000, 100, 0),
                100,
                20,
                5,
                50,
                16_384,
                0);
    }

    private static FrameTransport transport(String name, long incarnation) {
        return FrameTransport.builder().key(KEY).name(name).incarnation(incarnation).build();
    }

    private static Message.Offer offer() {
        return new Message.Offer(ID, WorkKind.CALL, "d", 1, 0, 0, 0, 0);
    }

    private static Message.CallWork call() {
        return new Message.CallWork("GET", "/large", List.of(), new byte[0], 60_000);
    }

    /** Collects the messages that the sidecar sends. */
    private final class MessageCollector implements Connection.Listener {
        @Override
        public void onOpen(Connection opened, Connection.Peer peer) {
            connection = opened;
        }

        @Override
        public void onMessage(Connection from, Message message) {
            received.add(message);
        }

        @Override
        public void onClose(Connection closedConnection, String reason) {
            closed = true;
        }
    }
}
