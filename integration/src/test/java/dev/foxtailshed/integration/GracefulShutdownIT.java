package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.harness.Completion;
import dev.foxtailshed.harness.EventStream;
import dev.foxtailshed.harness.HttpCaller.Response;
import dev.foxtailshed.harness.Installation;
import dev.foxtailshed.harness.JavaProcess;
import dev.foxtailshed.harness.Waiting;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Tests that a graceful shutdown of an entry, a sidecar or a backend server interrupts no request
 * in flight.
 */
class GracefulShutdownIT {

    private static final int TOKENS = 400;
    private static final int CALLERS = 6;
    private static final int LARGE_BYTES = 6_000_000;
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final long WAIT_MILLIS = 15_000;
    private static final Map<String, String> SLOW_CALL =
            Map.of("X-Stand-In-Delay-Millis", "3000", "X-Stand-In-Delay-At", "before");

    private static Installation site;
    private static int prompts;
    private final ExecutorService pool = Executors.newCachedThreadPool();

    @BeforeAll
    static void start() throws IOException {
        site =
                Installation.builder()
                        .entries(3)
                        .entryArguments("--drain-notice-millis", "1500")
                        .start();
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    @Test
    void entryExitsAfterAllItsResponses() throws IOException {
        List<Completion> completions = newCompletions();
        List<CompletableFuture<String>> texts = requestTexts(0, completions);
        CompletableFuture<Response> order = sendSlowOrder(0, "entry-leaves");
        SocketCaller idle = new SocketCaller(site.entry(0).address());
        awaitDecoding(CALLERS);
        site.entry(0).terminate();
        Waiting.await(
                "the readiness check returns 503 to the load balancer",
                WAIT_MILLIS,
                () -> readStatus(0, "/health/ready") == 503);
        assertThat(site.complete(0, completion(5)).status()).isEqualTo(200);
        Waiting.await("new requests are refused", WAIT_MILLIS, () -> isRefusedAsDraining(0));
        idle.post("/v1/completions", completion(5).body(false));
        assertThat(idle.readToEnd())
                .startsWith("HTTP/1.1 503")
                .contains("X-Foxtailshed-Verdict: not-run")
                .contains("Connection: close")
                .contains("\"code\":\"draining\"");
        assertThat(site.complete(1, completion(5)).status()).isEqualTo(200);
        assertCompleteTexts(texts, completions);
        assertThat(order.join().status()).isEqualTo(200);
        assertExitStatusZero(site.entry(0));
        assertThat(site.countRuns("entry-leaves")).isEqualTo(1);
    }

    @Test
    void entryWaitsForSlowReaders() throws IOException {
        try (SocketCaller slow = new SocketCaller(site.entry(2).address())) {
            slow.get("/apps/orders/stock/large/" + LARGE_BYTES, "X-Call-Id: slow-reader");
            Waiting.await("the call ran", WAIT_MILLIS, () -> site.countRuns("slow-reader") == 1);
            site.entry(2).terminate();
            Waiting.await("new requests are refused", WAIT_MILLIS, () -> isRefusedAsDraining(2));
            String response = slow.readToEnd();
            assertThat(response.startsWith("HTTP/1.1 200")).isTrue();
            assertThat(response.length()).isGreaterThan(LARGE_BYTES);
            assertThat(response.endsWith(LAST_CHUNK)).as("the last chunk arrived").isTrue();
        }
        assertExitStatusZero(site.entry(2));
    }

    @Test
    void decodeServerLeavesWithoutRetries() {
        long prefillsBefore = site.sumOverEngines("prefills");
        List<Completion> completions = newCompletions();
        List<CompletableFuture<String>> texts = requestTexts(1, completions);
        awaitDecoding(CALLERS);
        site.sidecar("d1").terminate();
        assertCompleteTexts(texts, completions);
        assertExitStatusZero(site.sidecar("d1"));
        assertThat(site.sumOverEngines("prefills")).isEqualTo(prefillsBefore + CALLERS);
        site.backend("d1").terminate();
        site.backend("d1").awaitExit();
        List<Completion> later = newCompletions();
        assertCompleteTexts(requestTexts(1, later), later);
    }

    @Test
    void plainServerLeavesAfterItsCalls() {
        CompletableFuture<Response> first = sendSlowOrder(1, "plain-1");
        CompletableFuture<Response> second = sendSlowOrder(1, "plain-2");
        Waiting.await("both are in flight", WAIT_MILLIS, () -> countRequestsInFlight(1) == 2);
        site.sidecar("s1").terminate();
        assertThat(first.join().status()).isEqualTo(200);
        assertThat(second.join().status()).isEqualTo(200);
        assertExitStatusZero(site.sidecar("s1"));
        assertThat(site.countRuns("plain-1") + site.countRuns("plain-2")).isEqualTo(2);
    }

    private static void assertExitStatusZero(JavaProcess process) {
        assertThat(process.awaitExit()).as(process.errorOutput()).isZero();
    }

    private static List<Completion> newCompletions() {
        List<Completion> completions = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            completions.add(completion(TOKENS));
        }
        return completions;
    }

    private static Completion completion(int tokens) {
        return new Completion("drafts", "m1", "the care sheet of caller " + ++prompts, tokens);
    }

    /** Sends all requests, every second one streamed, and returns their texts as futures. */
    private List<CompletableFuture<String>> requestTexts(int entry, List<Completion> completions) {
        List<CompletableFuture<String>> texts = new ArrayList<>();
        for (Completion completion : completions) {
            boolean streamed = texts.size() % 2 == 0;
            texts.add(
                    CompletableFuture.supplyAsync(
                            () ->
                                    streamed
                                            ? readStreamedText(entry, completion)
                                            : readUnstreamedText(entry, completion),
                            pool));
        }
        return texts;
    }

    private static String readStreamedText(int entry, Completion completion) {
        try (EventStream events = new EventStream(site.openCompletion(entry, completion))) {
            events.readAll();
            assertThat(events.isDone()).isTrue();
            return events.text();
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    private static String readUnstreamedText(int entry, Completion completion) {
        try {
            Response response = site.complete(entry, completion);
            assertThat(response.status()).as(response.body()).isEqualTo(200);
            return response.json()
                    .getAsJsonArray("choices")
                    .get(0)
                    .getAsJsonObject()
                    .get("text")
                    .getAsString();
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    private static void assertCompleteTexts(
            List<CompletableFuture<String>> texts, List<Completion> completions) {
        for (int i = 0; i < texts.size(); i++) {
            assertThat(texts.get(i).join()).isEqualTo(completions.get(i).expectedText());
        }
    }

    private CompletableFuture<Response> sendSlowOrder(int entry, String callId) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        Map<String, String> headers = new HashMap<>(SLOW_CALL);
                        headers.put("X-Call-Id", callId);
                        return site.call(
                                entry, "POST", "/apps/orders/wire-orders", headers, callId);
                    } catch (IOException e) {
                        throw new CompletionException(e);
                    }
                },
                pool);
    }

    private static void awaitDecoding(int count) {
        Waiting.await(
                count + " responses are being decoded",
                WAIT_MILLIS,
                () ->
                        site.sumOverEngines("heldSlots") >= count
                                && site.sumOverEngines("heldExports") == 0);
    }

    private static boolean isRefusedAsDraining(int entry) {
        try {
            Response response = site.complete(entry, completion(1));
            if (response.status() == 503) {
                assertThat(response.errorCode()).isEqualTo("draining");
                assertThat(response.verdict()).isEqualTo("not-run");
                return true;
            }
            return false;
        } catch (IOException e) {
            throw new IllegalStateException("a request failed without a response", e);
        }
    }

    private static long countRequestsInFlight(int entry) {
        try {
            return site.call(entry, "GET", "/metrics", Map.of(), "")
                    .json()
                    .getAsJsonObject("gauges")
                    .get("requests.inFlight")
                    .getAsLong();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int readStatus(int entry, String path) {
        try {
            return site.call(entry, "GET", path, Map.of(), "").status();
        } catch (IOException e) {
            throw new IllegalStateException(path + " failed", e);
        }
    }
}
