package dev.foxtailshed.daemon.internal.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpServer;
import dev.foxtailshed.daemon.hosting.StoreCalls;
import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.http.HttpExchange.ConnectionUse;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.junit.jupiter.api.Test;

/** Guards against requests without a result, because the HTTP client failed to send them. */
class HttpExchangeTest {

    private final HttpClient stopped = new HttpClient();

    @Test
    void requestThatTheClientFailsToSendHasNotRun() {
        FailureCollector collector = new FailureCollector();

        new HttpExchange(stopped.newRequest("127.0.0.1", 1), collector).send();

        assertThat(collector.failures).hasSize(1);
        assertThat(collector.failures.get(0).verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(collector.failures.get(0).code()).isEqualTo(ErrorCode.NO_SERVER);
    }

    @Test
    void storeCallThatTheClientFailsToSendFails() {
        CompletableFuture<Either<StoreFailure, String>> result =
                StoreCalls.send(
                        stopped.newRequest("127.0.0.1", 1), 1, response -> Either.right("read"));

        assertThat(result).isCompletedWithValueMatching(Either::isLeft);
    }

    /**
     * Guards against a control call that has two replies, so that the request which waits for it is
     * granted two reservations and runs twice.
     */
    @Test
    void requestThatFailsWhileItIsQueuedHasOneResult() throws Exception {
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(1);
        transport.setConnectionPoolFactory(
                destination ->
                        new DuplexConnectionPool(destination, 1) {
                            @Override
                            public Connection acquire(boolean create) {
                                throw new IllegalStateException("no connection can be acquired");
                            }
                        });
        HttpClient client = new HttpClient(transport);
        client.start();
        List<Result> results = new CopyOnWriteArrayList<>();
        try {
            ClientRequests.send(client.newRequest("127.0.0.1", 1), results::add);
            await().pollDelay(200, TimeUnit.MILLISECONDS).until(() -> !results.isEmpty());
        } finally {
            client.stop();
        }

        assertThat(results).hasSize(1);
        assertThat(results.get(0).isFailed()).isTrue();
    }

    /**
     * Guards against a request that is reported as not run when the client fails to send it, and is
     * sent afterwards by a connection that takes it from the queue.
     */
    @Test
    void requestThatBeginsAfterItWasReportedAsNotRunIsNotSent() throws Exception {
        ReadCounter server = new ReadCounter();
        HttpClient client = BackendHttpClients.newClient();
        client.start();
        FailureCollector collector = new FailureCollector();
        try (server) {
            Request sent = client.newRequest("127.0.0.1", server.port());
            new HttpExchange(failingAfterQueueing(sent), collector).send();
            assertThat(collector.failures).hasSize(1);
            assertThat(collector.failures.get(0).verdict()).isEqualTo(Verdict.NOT_RUN);

            CompletableFuture<Result> result = new CompletableFuture<>();
            sent.send(result::complete);
            assertThat(result.get(5, TimeUnit.SECONDS).isFailed()).isTrue();
        } finally {
            client.stop();
        }
        assertThat(server.readBytes()).isZero();
    }

    /**
     * Returns a request that fails as if the client had queued it, and that cannot be aborted while
     * it is queued.
     */
    private static Request failingAfterQueueing(Request request) {
        return (Request)
                Proxy.newProxyInstance(
                        Request.class.getClassLoader(),
                        new Class<?>[] {Request.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("send")) {
                                throw new IllegalStateException("queued");
                            }
                            if (method.getName().equals("abort")) {
                                return CompletableFuture.completedFuture(false);
                            }
                            Object result = method.invoke(request, arguments);
                            return result == request ? proxy : result;
                        });
    }

    /** A server that counts the bytes it reads, and responds to nothing. */
    private static final class ReadCounter implements AutoCloseable {
        private final ServerSocket listener =
                new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        private final AtomicLong readBytes = new AtomicLong();

        ReadCounter() throws IOException {
            Thread thread = new Thread(this::serve, "read-counter");
            thread.setDaemon(true);
            thread.start();
        }

        int port() {
            return listener.getLocalPort();
        }

        long readBytes() {
            return readBytes.get();
        }

        private void serve() {
            try (Socket socket = listener.accept()) {
                InputStream input = socket.getInputStream();
                while (input.read() >= 0) {
                    readBytes.incrementAndGet();
                }
            } catch (IOException e) {
                // The test has closed the listener, or the client its connection.
                return;
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    @Test
    void exchangeNamesItsConnectionAndTheRequestsBeforeIt() throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 10);
        server.createContext("/", exchange -> exchange.sendResponseHeaders(204, -1));
        server.start();
        HttpClient client = BackendHttpClients.newClient();
        client.start();
        List<ConnectionUse> uses = new ArrayList<>();
        try {
            for (int i = 0; i < 2; i++) {
                CompletionWaiter waiter = new CompletionWaiter();
                HttpExchange exchange =
                        new HttpExchange(
                                client.newRequest("127.0.0.1", server.getAddress().getPort()),
                                waiter);
                assertThat(exchange.connectionUse()).isEmpty();
                exchange.send();
                waiter.completed.get(5, TimeUnit.SECONDS);
                uses.add(exchange.connectionUse().orElseThrow());
            }
        } finally {
            client.stop();
            server.stop(0);
        }

        assertThat(uses).extracting(ConnectionUse::earlierRequests).containsExactly(0L, 1L);
        assertThat(uses.get(0).localPort()).isPositive().isEqualTo(uses.get(1).localPort());
    }

    /** Waits for the end of an exchange with a response. */
    private static final class CompletionWaiter implements HttpExchange.Handler {
        final CompletableFuture<Void> completed = new CompletableFuture<>();

        @Override
        public void onHead(Response response) {
            // The test needs the end of the response only.
        }

        @Override
        public void onBytes(Response response, byte[] bytes, Runnable next) {
            next.run();
        }

        @Override
        public void onComplete(Response response) {
            completed.complete(null);
        }

        @Override
        public void onFailure(RequestFailure failure) {
            completed.completeExceptionally(new IllegalStateException(failure.message()));
        }

        @Override
        public void onAborted() {
            completed.completeExceptionally(new IllegalStateException("aborted"));
        }
    }

    /** Collects the failures of an exchange that gets no response. */
    private static final class FailureCollector implements HttpExchange.Handler {
        final List<RequestFailure> failures = new ArrayList<>();

        @Override
        public void onHead(Response response) {
            throw new AssertionError("unexpected head: " + response);
        }

        @Override
        public void onBytes(Response response, byte[] bytes, Runnable next) {
            throw new AssertionError("unexpected bytes of " + response);
        }

        @Override
        public void onComplete(Response response) {
            throw new AssertionError("unexpected end of " + response);
        }

        @Override
        public void onFailure(RequestFailure failure) {
            failures.add(failure);
        }

        @Override
        public void onAborted() {
            throw new AssertionError("the exchange was not aborted");
        }
    }
}
