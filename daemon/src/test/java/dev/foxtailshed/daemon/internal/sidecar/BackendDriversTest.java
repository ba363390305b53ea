package dev.foxtailshed.daemon.internal.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import dev.foxtailshed.daemon.internal.http.BackendHttpClients;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.Message.Header;
import dev.foxtailshed.wire.Message.KvExport;
import java.io.ByteArrayOutputStream;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests both drivers against a real HTTP server. */
class BackendDriversTest {

    private static final AttemptId ID = new AttemptId(0xab, 4, 1);
    private static final long TIMEOUT_MILLIS = 20_000;

    private final HttpClient httpClient = BackendHttpClients.newClient();
    private final TimerService timer = new ImmediateTimer();
    private TestBackend backend;
    private EngineDriver engine;
    private PlainServiceDriver service;

    @BeforeEach
    void start() throws Exception {
        backend = new TestBackend();
        httpClient.start();
        URI url = URI.create("http://127.0.0.1:" + backend.port());
        engine = new EngineDriver(httpClient, url, 12, timer, TIMEOUT_MILLIS);
        service = new PlainServiceDriver(httpClient, url);
    }

    @AfterEach
    void stop() throws Exception {
        httpClient.stop();
        backend.close();
    }

    @Test
    void prefillReturnsTheExport() {
        AnswerCollector answer = new AnswerCollector();
        engine.start(ID, new Message.PrefillWork("m", "one two", 2, TIMEOUT_MILLIS), answer);

        assertThat(answer.awaitEnd())
                .isEqualTo("prefilled KvExport[handle=h, sourceUrl=u, sizeBytes=70]");
        assertThat(backend.receivedRequests)
                .containsExactly(
                        "POST /v1/completions ab-4-1 {\"model\":\"m\",\"prompt\":\"one two\","
                                + "\"max_tokens\":1,\"stream\":false,\"priority\":2,"
                                + "\"kv_transfer_params\":{\"do_remote_decode\":true}}");
    }

    @Test
    void decodeForwardsEveryTokenInOrder() {
        AnswerCollector answer = new AnswerCollector();
        engine.start(ID, decode("p"), answer);

        assertThat(answer.awaitEnd()).isEqualTo("end stop 9 3");
        assertThat(answer.text()).isEqualTo(" w€ w€ end");
        assertThat(answer.tokens).isEqualTo(3);
        assertThat(backend.receivedRequests.get(0))
                .contains("\"continue_text\":\" w\",\"continue_tokens\":1", "do_remote_prefill");
    }

    @ParameterizedTest
    @CsvSource({
        "refuse-409, NOT_RUN, VERSION_CONFLICT",
        "refuse-410, NOT_RUN, BACKEND_ERROR",
        "refuse-429, NOT_RUN, OVERLOADED",
        "refuse-503, NOT_RUN, NO_SERVER",
        "refuse-500, MAY_HAVE_RUN, BACKEND_ERROR",
        "break-off, RAN, INCOMPLETE_ANSWER",
        "no-end-mark, RAN, INCOMPLETE_ANSWER"
    })
    void decodeFailsWithAVerdict(String prompt, Verdict verdict, ErrorCode code) {
        AnswerCollector answer = new AnswerCollector();
        engine.start(ID, decode(prompt), answer);

        assertThat(answer.awaitEnd()).isEqualTo("failed " + verdict + " " + code);
    }

    @Test
    void cancellationIsRepeatedUntilTheEngineConfirmsIt() {
        backend.cancelFailures.set(1);
        AnswerCollector answer = new AnswerCollector();
        engine.start(ID, decode("hang"), answer);
        await().until(() -> answer.tokens == 1);

        CompletableFuture<Void> done = engine.cancel(ID);
        assertThat(done).succeedsWithin(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(backend.receivedRequests)
                .filteredOn("POST /v1/cancel null {\"request_id\":\"ab-4-1\"}"::equals)
                .hasSize(2);
        assertThat(answer.ended).isNotDone();
        assertThat(engine.heldRequests().join().get()).containsExactly("a-1-0");
    }

    @Test
    void callIsForwardedWithoutHopByHopHeadersAndCookiesOfOthers() {
        AnswerCollector answer = new AnswerCollector();
        service.start(new AttemptId(1, 1, 0), call("/first", ""), new AnswerCollector());
        await().until(() -> backend.receivedRequests.size() == 1);
        service.start(ID, call("/echo?a=%20b", "body"), answer);

        assertThat(answer.awaitEnd()).isEqualTo("end  0 0");
        assertThat(answer.text()).isEqualTo("/echo?a=%20b|body|falsefalse");
        assertThat(answer.status).isEqualTo(302);
        assertThat(answer.headers).contains(new Header("X-Kept", "1"));
        assertThat(answer.headers).extracting(Header::name).doesNotContain("X-Hop", "Connection");
    }

    @ParameterizedTest
    @ValueSource(ints = {301, 307, 401, 407, 429, 503})
    void everyStatusIsForwarded(int status) {
        AnswerCollector answer = new AnswerCollector();
        service.start(ID, call("/status/" + status, "body"), answer);

        assertThat(answer.awaitEnd()).isEqualTo("end  0 0");
        assertThat(answer.status).isEqualTo(status);
        assertThat(answer.text()).isEqualTo("no");
        assertThat(backend.receivedRequests).hasSize(1);
    }

    @Test
    void largeAnswerIsReadOnlyOnDemand() {
        AnswerCollector answer = new AnswerCollector();
        answer.paused = true;
        service.start(ID, call("/large", ""), answer);
        await().until(() -> answer.next.get() != null);
        assertThat(answer.body.size()).isLessThan(4 << 20);

        answer.paused = false;
        answer.next.get().run();
        assertThat(answer.awaitEnd()).isEqualTo("end  0 0");
        assertThat(answer.body.size()).isEqualTo(4 << 20);
    }

    @ParameterizedTest
    @CsvSource({"/break, RAN, INCOMPLETE_ANSWER", "/drop, MAY_HAVE_RUN, CONNECTION_LOST"})
    void callFailsWithAVerdict(String path, Verdict verdict, ErrorCode code) {
        AnswerCollector answer = new AnswerCollector();
        service.start(ID, call(path, ""), answer);

        assertThat(answer.awaitEnd()).isEqualTo("failed " + verdict + " " + code);
    }

    /** A service that stops may end its response in good order. */
    @ParameterizedTest
    @CsvSource({"whole, end  0 0", "none, end  0 0", "inside, failed RAN INCOMPLETE_ANSWER"})
    void eventStreamThatEndsInsideAnEventIsIncomplete(String variant, String end) {
        AnswerCollector answer = new AnswerCollector();
        service.start(ID, call("/events/" + variant, ""), answer);

        assertThat(answer.awaitEnd()).isEqualTo(end);
    }

    @ParameterizedTest
    @ValueSource(strings = {"//127.0.0.1:1/x", "http://127.0.0.1:1/x"})
    void pathOfAnotherAuthorityIsRefused(String path) {
        AnswerCollector answer = new AnswerCollector();
        service.start(ID, call(path, ""), answer);

        assertThat(answer.awaitEnd()).isEqualTo("failed NOT_RUN INVALID_REQUEST");
        assertThat(backend.receivedRequests).isEmpty();
    }

    @Test
    void refusedConnectionProvesThatNothingRan() throws Exception {
        URI unusedUrl;
        try (ServerSocket socket = new ServerSocket(0)) {
            unusedUrl = URI.create("http://127.0.0.1:" + socket.getLocalPort());
        }
        AnswerCollector answer = new AnswerCollector();
        EngineDriver unreachableEngine =
                new EngineDriver(httpClient, unusedUrl, 12, timer, TIMEOUT_MILLIS);
        unreachableEngine.start(ID, decode("p"), answer);

        assertThat(answer.awaitEnd()).isEqualTo("failed NOT_RUN NO_SERVER");
        assertThat(unreachableEngine.cancel(ID))
                .succeedsWithin(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        PlainServiceDriver unreachableService = new PlainServiceDriver(httpClient, unusedUrl);
        assertThat(unreachableService.heldRequests().join().isLeft()).isTrue();
        assertThat(service.heldRequests().join().get()).isEmpty();
    }

    private static Message.DecodeWork decode(String prompt) {
        KvExport export = new KvExport("h", "u", 70);
        return new Message.DecodeWork("m", prompt, " w", 1, 9, 0, TIMEOUT_MILLIS, export);
    }

    private static Message.CallWork call(String path, String body) {
        List<Header> headers =
                List.of(
                        new Header("Connection", "X-Private-Hop"),
                        new Header("X-Private-Hop", "1"));
        return new Message.CallWork(
                "POST", path, headers, body.getBytes(StandardCharsets.UTF_8), TIMEOUT_MILLIS);
    }

    /** Runs delayed tasks immediately. */
    private static final class ImmediateTimer implements TimerService {
        @Override
        public long nowMillis() {
            return 0;
        }

        @Override
        public Subscription once(long delayMillis, Runnable task) {
            task.run();
            return () -> {};
        }

        @Override
        public Subscription every(long periodMillis, Runnable task) {
            throw new UnsupportedOperationException("not used by drivers");
        }
    }

    /** Collects the answer and the end of one piece of work. */
    private static final class AnswerCollector implements BackendListener {
        private final CompletableFuture<String> ended = new CompletableFuture<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final AtomicReference<Runnable> next = new AtomicReference<>();
        private volatile boolean paused;
        private volatile int tokens;
        private volatile int status;
        private volatile List<Header> headers = List.of();

        String awaitEnd() {
            return ended.orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
        }

        String text() {
            return body.toString(StandardCharsets.UTF_8);
        }

        @Override
        public void onHead(int answerStatus, List<Header> answerHeaders) {
            status = answerStatus;
            headers = answerHeaders;
        }

        @Override
        public void onPart(byte[] content, int partTokens, Runnable demand) {
            body.writeBytes(content);
            tokens += partTokens;
            if (paused) {
                next.set(demand);
            } else {
                demand.run();
            }
        }

        @Override
        public void onPrefilled(KvExport export, long promptTokens, long cachedTokens) {
            ended.complete("prefilled " + export);
        }

        @Override
        public void onEnd(String finishReason, long promptTokens, long cachedTokens) {
            ended.complete("end " + finishReason + " " + promptTokens + " " + cachedTokens);
        }

        @Override
        public void onFailure(RequestFailure failure) {
            ended.complete("failed " + failure.verdict() + " " + failure.code());
        }
    }
}
