package dev.foxtailshed.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link ProxyStandIn}. */
class ProxyStandInTest {

    private static final int READ_TIMEOUT_MILLIS = 30_000;
    private static final int LARGE_BYTES = 3_000_000;

    private TestCaller control;
    private ServerSocket target;
    private ProxyStandIn proxy;
    private Socket caller;
    private Socket accepted;

    @BeforeEach
    void start() throws Exception {
        control = new TestCaller();
        target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        InetSocketAddress targetAddress = new InetSocketAddress("127.0.0.1", target.getLocalPort());
        proxy = ProxyStandIn.builder().pair(anyPort, targetAddress).start();
        caller = connect();
        accepted = target.accept();
        accepted.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        accepted.close();
        proxy.close();
        target.close();
        control.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{\"delayMillis\":1.5}",
                "{\"bytesPerSecond\":30000000}",
                "{\"mode\":\"freeze\",\"direction\":\"to-caller\"}"
            })
    void bytesArriveInOrderFollowedByTheClose(String faults) throws Exception {
        put(faults);
        byte[] sent = new byte[LARGE_BYTES];
        new Random(7).nextBytes(sent);
        CompletableFuture<Void> writer =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                caller.getOutputStream().write(sent);
                                caller.shutdownOutput();
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        assertThat(accepted.getInputStream().readAllBytes()).isEqualTo(sent);
        writer.get();
    }

    @Test
    void freezeDelaysBytesAndCloseInOneDirectionOnly() throws Exception {
        put("{\"mode\":\"freeze\",\"direction\":\"to-target\"}");
        write(caller, "held");
        write(accepted, "passed");
        assertThat(read(caller, 6)).isEqualTo("passed");
        caller.shutdownOutput();
        assertThat(count("bytesToTarget")).isZero();
        assertThat(accepted.getInputStream().available()).isZero();

        put("{\"mode\":\"pass\"}");

        assertThat(new String(accepted.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                .isEqualTo("held");
        write(accepted, "still open");
        assertThat(read(caller, 10)).isEqualTo("still open");
    }

    @ParameterizedTest
    @ValueSource(strings = {"cut", "refuse"})
    void cutAndRefuseRejectNewConnectionsWhileSet(String mode) throws Exception {
        put("{\"mode\":\"" + mode + "\"}");
        assertReset(connect());
        assertThat(count("refused")).isEqualTo(1);
        assertThat(count("open")).isEqualTo(mode.equals("cut") ? 0 : 1);
        if (mode.equals("cut")) {
            assertReset(caller);
            assertReset(accepted);
        }

        put("{}");
        try (Socket again = connect();
                Socket acceptedAgain = target.accept()) {
            write(again, "again");
            assertThat(read(acceptedAgain, 5)).isEqualTo("again");
        }
    }

    @Test
    void cutNowResetsConnectionsAndKeepsAccepting() throws Exception {
        control.send(proxy.controlAddress(), "POST", "/control/cut-now", "");
        assertReset(caller);
        assertReset(accepted);
        try (Socket again = connect();
                Socket acceptedAgain = target.accept()) {
            write(acceptedAgain, "again");
            assertThat(read(again, 5)).isEqualTo("again");
        }
    }

    @Test
    void halfOpenDiscardsBytesAndCloses() throws Exception {
        put("{\"mode\":\"half-open\",\"direction\":\"to-target\"}");
        write(caller, "lost");
        await().until(() -> count("bytesSwallowed") == 4);
        caller.shutdownOutput();
        write(accepted, "heard");
        assertThat(read(caller, 5)).isEqualTo("heard");
        assertThat(count("bytesToTarget")).isZero();
        assertThat(count("open")).isEqualTo(1);
    }

    @Test
    void resetOfOneSideIsForwardedToTheOther() throws Exception {
        caller.setSoLinger(true, 0);
        caller.close();
        assertReset(accepted);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"mode\":\"no-such\"}",
                "{\"direction\":\"no-such\"}",
                "{\"delayMillis\":-1}",
                "nothing"
            })
    void malformedFaultsAreRefused(String faults) throws Exception {
        InetSocketAddress controlAddress = proxy.controlAddress();
        assertThat(control.send(controlAddress, "PUT", "/control/faults", faults).getStatus())
                .isEqualTo(400);
        String unknownListener = "/control/faults?listen=127.0.0.1:1";
        assertThat(control.send(controlAddress, "PUT", unknownListener, "{}").getStatus())
                .isEqualTo(404);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", proxy.addresses().get(0).getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private void put(String faults) throws Exception {
        InetSocketAddress controlAddress = proxy.controlAddress();
        assertThat(control.send(controlAddress, "PUT", "/control/faults", faults).getStatus())
                .isEqualTo(204);
    }

    private long count(String name) throws Exception {
        String counts = control.get(proxy.controlAddress(), "/control/counts");
        return JsonParser.parseString(counts).getAsJsonObject().get(name).getAsLong();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String read(Socket socket, int sizeBytes) throws IOException {
        byte[] bytes = socket.getInputStream().readNBytes(sizeBytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static void assertReset(Socket socket) {
        assertThatThrownBy(() -> socket.getInputStream().read())
                .isInstanceOf(IOException.class)
                .hasMessageContaining("reset");
    }
}
