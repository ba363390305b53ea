package dev.foxtailshed.daemon.internal.direct;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.daemon.hosting.HostingPlatform;
import dev.foxtailshed.daemon.hosting.ServerProtocol;
import dev.foxtailshed.daemon.hosting.ServerProtocol.AttemptOptions;
import dev.foxtailshed.daemon.hosting.ServerProtocol.ResponseHead;
import dev.foxtailshed.daemon.internal.http.BackendHttpClients;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.kernel.SteppedTimerService;
import dev.foxtailshed.kernel.direct.BufferBudget;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.ServerHealthRegistry;
import dev.foxtailshed.kernel.direct.ServerRateLimits;
import dev.foxtailshed.kernel.direct.WindowedRetryBudget;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what happens to the connection of a refusal while the entry's loop is busy. */
class RefusalConnectionTest {

    private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

    private final SteppedTimerService timer = new SteppedTimerService();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final SerialExecutor loop = new SerialExecutor(threads);

    /**
     * Guards against a connection that carries the next attempt of a request before its refusal has
     * been handled, so that a late copy of the refusal is taken for the response.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void connectionIsClosedBeforeTheLoopHandlesTheRefusal(boolean prefillOnly) throws Exception {
        HttpClient client = BackendHttpClients.newClient();
        client.start();
        CountDownLatch busy = new CountDownLatch(1);
        CompletableFuture<CallOutcome> outcome = new CompletableFuture<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            CompletableFuture<Boolean> closed =
                    CompletableFuture.supplyAsync(() -> refuseAndAwaitClose(listener), threads);
            BackendCall call =
                    newCall(client, "127.0.0.1:" + listener.getLocalPort(), prefillOnly, outcome);
            loop.execute(call::send);
            loop.execute(() -> awaitLatch(busy));

            assertThat(closed.get(5, TimeUnit.SECONDS)).isTrue();
            assertThat(outcome).isNotDone();
            busy.countDown();
            assertThat(outcome.get(5, TimeUnit.SECONDS)).isEqualTo(CallOutcome.REFUSED);
        } finally {
            busy.countDown();
            client.stop();
            threads.shutdownNow();
        }
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the entry closes the connection soon after the refusal. */
    private static boolean refuseAndAwaitClose(ServerSocket listener) {
        try (Socket socket = listener.accept()) {
            socket.setSoTimeout(2_000);
            socket.getInputStream().read(new byte[8_192]);
            socket.getOutputStream().write(REFUSAL.getBytes(StandardCharsets.US_ASCII));
            return socket.getInputStream().read() < 0;
        } catch (IOException e) {
            // The connection was not closed in time.
            return false;
        }
    }

    private BackendCall newCall(
            HttpClient client,
            String address,
            boolean prefillOnly,
            CompletableFuture<CallOutcome> outcome) {
        DirectServer server =
                new DirectServer("i-1", 1, "llm", address, "a", 8, false, Optional.empty(), 0);
        return new BackendCall(
                newContext(client),
                CallerRequests.createForModel(),
                server,
                new AttemptOptions(
                        server.id(),
                        10_000,
                        prefillOnly,
                        Optional.empty(),
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty()),
                new BackendCall.Listener() {
                    @Override
                    public void onHead(int status, HttpFields headers) {
                        throw new AssertionError("a refusal is not forwarded: " + status);
                    }

                    @Override
                    public void onBytes(byte[] bytes) {
                        throw new AssertionError("a refusal is not forwarded");
                    }

                    @Override
                    public void onEnd(CallOutcome ended, String detail) {
                        outcome.complete(ended);
                    }
                });
    }

    private DirectContext newContext(HttpClient client) {
        return new DirectContext(
                stub(HostingPlatform.class),
                null,
                loop,
                timer,
                client,
                new ServerHealthRegistry(),
                new ServerRateLimits(() -> 1, id -> 0),
                new WindowedRetryBudgets(name -> new WindowedRetryBudget(1, () -> 10, 1_000)),
                null,
                new BufferBudget(1_000),
                new BufferBudget(1_000),
                new DirectRequestRecorder(new MetricRegistry(), timer, () -> ServerCatalog.EMPTY),
                () -> 0.5);
    }

    /** Returns a platform whose servers refuse every request. */
    private static <T> T stub(Class<T> type) {
        Object stub =
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (proxy, method, arguments) -> {
                            if (method.getReturnType() == ServerProtocol.class) {
                                return stub(ServerProtocol.class);
                            }
                            if (method.getReturnType() == ResponseHead.class) {
                                return new ResponseHead(
                                        true,
                                        true,
                                        false,
                                        false,
                                        Optional.of("request"),
                                        Optional.empty(),
                                        false,
                                        Optional.empty());
                            }
                            return HttpFields.build();
                        });
        return type.cast(stub);
    }
}
