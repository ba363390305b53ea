package dev.foxtailshed.daemon.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a response without a length is complete only after an orderly close. */
class ResetAwareConnectorTest {

    private final HttpClient client = BackendHttpClients.newClient();

    @BeforeEach
    void start() throws Exception {
        client.start();
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
    }

    @ParameterizedTest
    @CsvSource({"false, false", "true, true"})
    void resetFailsAndOrderlyCloseSucceeds(boolean reset, boolean failed) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread server = new Thread(() -> respondOnce(listener, reset), "server");
            server.start();
            CompletableFuture<Result> done = new CompletableFuture<>();
            client.newRequest("127.0.0.1", listener.getLocalPort())
                    .send(
                            new BufferingResponseListener() {
                                @Override
                                public void onComplete(Result result) {
                                    done.complete(result);
                                }
                            });
            assertThat(done.get(5, TimeUnit.SECONDS).isFailed()).isEqualTo(failed);
            server.join();
        }
    }

    private static void respondOnce(ServerSocket listener, boolean reset) {
        try (Socket socket = listener.accept()) {
            socket.getInputStream().read(new byte[4_096]);
            OutputStream out = socket.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            TimeUnit.MILLISECONDS.sleep(200);
            // With a linger time of zero, closing the socket resets the connection.
            socket.setSoLinger(reset, 0);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
