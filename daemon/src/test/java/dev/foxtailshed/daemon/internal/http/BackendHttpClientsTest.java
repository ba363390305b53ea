package dev.foxtailshed.daemon.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the clients against servers that send interim responses. */
class BackendHttpClientsTest {

    private static final String FINAL = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private static Stream<Supplier<HttpClient>> clients() {
        return Stream.of(BackendHttpClients::newClient, BackendHttpClients::newServiceClient);
    }

    static Stream<Arguments> clientsAndInterimResponses() {
        return clients()
                .flatMap(
                        client ->
                                Stream.of("102 Processing", "103 Early Hints")
                                        .map(status -> Arguments.of(client, status)));
    }

    /** Guards against a request that waits, and memory that fills, until its deadline. */
    @ParameterizedTest
    @MethodSource("clientsAndInterimResponses")
    void interimResponsesWithoutEndFailTheRequest(Supplier<HttpClient> factory, String status)
            throws Exception {
        Result result = request(factory.get(), status, Integer.MAX_VALUE);

        assertThat(result.isFailed()).isTrue();
    }

    @ParameterizedTest
    @MethodSource("clientsAndInterimResponses")
    void aFewInterimResponsesPrecedeTheResponse(Supplier<HttpClient> factory, String status)
            throws Exception {
        Result result =
                request(factory.get(), status, LimitedInterimHandler.MAXIMUM_INTERIM_RESPONSES);

        assertThat(result.isFailed()).as("%s", result.getFailure()).isFalse();
        assertThat(result.getResponse().getStatus()).isEqualTo(200);
    }

    private static Result request(HttpClient client, String status, int interimResponses)
            throws Exception {
        client.start();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Thread server = new Thread(() -> serve(listener, status, interimResponses));
            server.setDaemon(true);
            server.start();
            CompletableFuture<Result> result = new CompletableFuture<>();
            client.newRequest("127.0.0.1", listener.getLocalPort()).send(result::complete);
            return result.get(5, TimeUnit.SECONDS);
        } finally {
            client.stop();
        }
    }

    private static void serve(ServerSocket listener, String status, int interimResponses) {
        try (Socket socket = listener.accept()) {
            socket.getInputStream().read();
            OutputStream output = socket.getOutputStream();
            byte[] interim =
                    ("HTTP/1.1 " + status + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
            for (int i = 0; i < interimResponses; i++) {
                output.write(interim);
            }
            output.write(FINAL.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The client has closed the connection.
            return;
        }
    }
}
