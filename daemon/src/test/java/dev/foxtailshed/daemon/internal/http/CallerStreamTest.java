package dev.foxtailshed.daemon.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests {@link CallerStream} on connections that are reused for many requests.
 *
 * <p>Guards against a detector that registers for further bytes after the response has ended, which
 * closes the connection before its next request.
 */
class CallerStreamTest {

    private static final int CALLERS = 16;
    private static final int REQUESTS_EACH = 3_000;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
    private static final byte[] BODY = "ok".getBytes(StandardCharsets.UTF_8);

    private final Server server = new Server();
    private final ExecutorService pool = Executors.newFixedThreadPool(4);
    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    private ServerConnector connector;

    @BeforeEach
    void start() throws Exception {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        connector = HttpConnectors.add(server, any, Optional.empty());
        server.setHandler(new EndpointChain(List.of(this::respondAsynchronously), () -> false));
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
        pool.shutdownNow();
        callers.shutdownNow();
    }

    @Test
    void connectionsStayOpenBetweenRequests() throws Exception {
        List<Future<Integer>> answeredCounts = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            answeredCounts.add(callers.submit(this::sendRequests));
        }
        for (Future<Integer> caller : answeredCounts) {
            assertThat(caller.get(1, TimeUnit.MINUTES)).isEqualTo(REQUESTS_EACH);
        }
    }

    private boolean respondAsynchronously(Request request, Response response, Callback callback) {
        CallerStream caller =
                new CallerStream(
                        request, response, callback, () -> {}, BufferBudgets.forResponses());
        pool.execute(
                () -> {
                    caller.start(200, HttpFields.EMPTY);
                    caller.write(BODY);
                    caller.end();
                });
        return true;
    }

    /** Returns the number of responses received before the connection closed. */
    private int sendRequests() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", connector.getLocalPort())) {
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            int answered = 0;
            while (answered < REQUESTS_EACH) {
                out.write(REQUEST.getBytes(StandardCharsets.UTF_8));
                if (!readResponse(in)) {
                    return answered;
                }
                answered++;
            }
            return answered;
        }
    }

    /** Reads a chunked response; returns false if the connection closed before its end. */
    private static boolean readResponse(BufferedReader in) throws IOException {
        String line = in.readLine();
        while (line != null && !line.equals("0")) {
            line = in.readLine();
        }
        return line != null && in.readLine() != null;
    }
}
