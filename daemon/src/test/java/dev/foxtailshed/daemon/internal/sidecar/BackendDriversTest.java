package dev.foxtailshed.daemon.internal.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import dev.foxtailshed.daemon.internal.http.BackendHttp;
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

/** Runs both drivers against a real HTTP server. */
class BackendDriversTest {

    private static final AttemptId ID = new AttemptId(0xab, 4, 1);
    private static final long TIMEOUT_MILLIS = 20_000;

    private final HttpClient httpClient = BackendHttp.newClient();
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
    void prefillNamesTheExport() {
        Heard heard = new Heard();
        engine.start(ID, new Message.PrefillWork("m", "one two", 2, TIMEOUT_MILLIS), heard);

        assertThat(heard.end())
                .isEqualTo("prefilled KvExport[handle=h, sourceUrl=u, sizeBytes=70]");
        assertThat(backend.seen)
                .containsExactly(
                        "POST /v1/completions ab-4-1 {\"model\":\"m\",\"prompt\":\"one two\","
                                + "\"max_tokens\":1,\"stream\":false,\"priority\":2,"
                                + "\"kv_transfer_params\":{\"do_remote_decode\":true}}");
    }

    @Test
    void decodeHandsOnEveryTokenInOrder() {
        Heard heard = new Heard();
        engine.start(ID, decode("p"), heard);

        assertThat(heard.end()).isEqualTo("end stop 9 3");
        assertThat(heard.text()).isEqualTo(" w€ w€ end");
        assertThat(heard.tokens).isEqualTo(3);
        assertThat(backend.seen.get(0))
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
        Heard heard = new Heard();
        engine.start(ID, decode(prompt), heard);

        assertThat(heard.end()).isEqualTo("failed " + verdict + " " + code);
    }

    @Test
    void cancellationIsRepeatedUntilTheEngineConfirmsIt() {
        backend.cancelFailures.set(1);
        Heard heard = new Heard();
        engine.start(ID, decode("hang"), heard);
        await().until(() -> heard.tokens == 1);

        CompletableFuture<Void> done = engine.cancel(ID);
        assertThat(done).succeedsWithin(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(backend.seen)
                .filteredOn("POST /v1/cancel null {\"request_id\":\"ab-4-1\"}"::equals)
                .hasSize(2);
        assertThat(heard.ended).isNotDone();
        assertThat(engine.heldRequests().join().get()).containsExactly("a-1-0");
    }

    @Test
    void callIsHandedOnWithoutHopByHopHeadersAndCookiesOfOthers() {
        Heard heard = new Heard();
        service.start(new AttemptId(1, 1, 0), call("/first", ""), new Heard());
        await().until(() -> backend.seen.size() == 1);
        service.start(ID, call("/echo?a=%20b", "body"), heard);

        assertThat(heard.end()).isEqualTo("end  0 0");
        assertThat(heard.text()).isEqualTo("/echo?a=%20b|body|falsefalse");
        assertThat(heard.status).isEqualTo(302);
        assertThat(heard.headers).contains(new Header("X-Kept", "1"));
        assertThat(heard.headers).extracting(Header::name).doesNotContain("X-Hop", "Connection");
    }

    @ParameterizedTest
    @ValueSource(ints = {301, 307, 401, 407, 429, 503})
    void everyStatusIsHandedOn(int status) {
        Heard heard = new Heard();
        service.start(ID, call("/status/" + status, "body"), heard);

        assertThat(heard.end()).isEqualTo("end  0 0");
        assertThat(heard.status).isEqualTo(status);
        assertThat(heard.text()).isEqualTo("no");
        assertThat(backend.seen).hasSize(1);
    }

    @Test
    void largeAnswerIsReadOnlyOnDemand() {
        Heard heard = new Heard();
        heard.holdBack = true;
        service.start(ID, call("/large", ""), heard);
        await().until(() -> heard.next.get() != null);
        assertThat(heard.body.size()).isLessThan(4 << 20);

        heard.holdBack = false;
        heard.next.get().run();
        assertThat(heard.end()).isEqualTo("end  0 0");
        assertThat(heard.body.size()).isEqualTo(4 << 20);
    }

    @ParameterizedTest
    @CsvSource({"/break, RAN, INCOMPLETE_ANSWER", "/drop, MAY_HAVE_RUN, CONNECTION_LOST"})
    void callFailsWithAVerdict(String path, Verdict verdict, ErrorCode code) {
        Heard heard = new Heard();
        service.start(ID, call(path, ""), heard);

        assertThat(heard.end()).isEqualTo("failed " + verdict + " " + code);
    }

    @ParameterizedTest
    @ValueSource(strings = {"//127.0.0.1:1/x", "http://127.0.0.1:1/x"})
    void pathOfAnotherAuthorityIsRefused(String path) {
        Heard heard = new Heard();
        service.start(ID, call(path, ""), heard);

        assertThat(heard.end()).isEqualTo("failed NOT_RUN INVALID_REQUEST");
        assertThat(backend.seen).isEmpty();
    }

    @Test
    void refusedConnectionProvesThatNothingRan() throws Exception {
        URI nobody;
        try (ServerSocket socket = new ServerSocket(0)) {
            nobody = URI.create("http://127.0.0.1:" + socket.getLocalPort());
        }
        Heard heard = new Heard();
        EngineDriver lost = new EngineDriver(httpClient, nobody, 12, timer, TIMEOUT_MILLIS);
        lost.start(ID, decode("p"), heard);

        assertThat(heard.end()).isEqualTo("failed NOT_RUN NO_SERVER");
        assertThat(lost.cancel(ID)).succeedsWithin(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        PlainServiceDriver gone = new PlainServiceDriver(httpClient, nobody);
        assertThat(gone.heldRequests().join().isLeft()).isTrue();
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

    /** Runs what is to run later at once. */
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

    /** Collects one answer. */
    private static final class Heard implements BackendListener {
        private final CompletableFuture<String> ended = new CompletableFuture<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final AtomicReference<Runnable> next = new AtomicReference<>();
        private volatile boolean holdBack;
        private volatile int tokens;
        private volatile int status;
        private volatile List<Header> headers = List.of();

        String end() {
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
            if (holdBack) {
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
