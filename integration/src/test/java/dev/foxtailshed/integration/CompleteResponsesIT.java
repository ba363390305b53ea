package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import dev.foxtailshed.harness.Completion;
import dev.foxtailshed.harness.EventStream;
import dev.foxtailshed.harness.HttpCaller.Response;
import dev.foxtailshed.harness.Installation;
import dev.foxtailshed.harness.Waiting;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that under faults each caller gets its own response, complete and once, or an error that
 * cannot be mistaken for a complete response.
 */
class CompleteResponsesIT {

    private static final long SEED = 20261204;
    private static final int CALLERS = 50;
    private static final int MIXED_CALLERS = 8;
    private static final int LARGE_CALLERS = 4;
    private static final int RESETS = 6;
    private static final String FAULTY_SERVER = "d1";
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final int LARGE_BYTES = 1 << 20;
    private static final int TOKENS = 250;
    private static final int TOKENS_BEFORE_FAULT = 30;
    private static final long WAIT_MILLIS = 15_000;
    private static final String PASS_THROUGH = "{\"mode\":\"pass\"}";
    private static final List<String> DECODE_SERVERS = List.of("d1", "d2");

    private static Installation site;
    private static int prompts;
    private final ExecutorService pool = Executors.newFixedThreadPool(CALLERS + LARGE_CALLERS);

    @BeforeAll
    static void start() throws IOException {
        JsonObject manifest = Manifests.small();
        Manifests.set(manifest, "policies", "default", "maximumAttempts", 10);
        Manifests.set(manifest, "policies", "default", "retryBudgetPercent", 100);
        JsonArray classes = manifest.getAsJsonArray("classes");
        classes.add(
                JsonParser.parseString(
                        "{\"name\":\"short\",\"priority\":3,\"timeToFirstTokenMillis\":2000,"
                                + "\"timeBetweenTokensMillis\":100,\"timeoutMillis\":4000,"
                                + "\"patient\":false}"));
        site = Installation.builder().manifest(manifest.toString()).start();
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    @AfterEach
    void restoreServersAndCheckMemoryIsFree() {
        pool.shutdownNow();
        for (String server : DECODE_SERVERS) {
            site.setProxyFaults(server, PASS_THROUGH);
            if (!site.backend(server).isAlive()) {
                site.sidecar(server).kill();
                site.restartBackend(server);
            }
            if (!site.sidecar(server).isAlive()) {
                site.restartSidecar(server);
            }
        }
        site.awaitServing(0);
        Waiting.await("memory is free", WAIT_MILLIS, () -> site.sumOverEngines("heldPieces") == 0);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "engine-killed",
                "sidecar-killed",
                "link-cut",
                "frozen-both",
                "frozen-to-caller",
                "frozen-to-target"
            })
    void responsesContinueOnAnotherServer(String fault) {
        List<Completion> completions = new ArrayList<>();
        List<CompletableFuture<String>> texts = new ArrayList<>();
        for (int i = 0; i < MIXED_CALLERS; i++) {
            Completion completion = completion(TOKENS);
            boolean streamed = i % 2 == 0;
            completions.add(completion);
            texts.add(CompletableFuture.supplyAsync(() -> readText(completion, streamed), pool));
        }
        awaitTokens(MIXED_CALLERS * TOKENS_BEFORE_FAULT);
        injectFault(fault, FAULTY_SERVER);
        if (fault.startsWith("frozen")) {
            Waiting.await(
                    "all responses continue on the other server",
                    WAIT_MILLIS,
                    () -> countHeldSlots("d2") == MIXED_CALLERS);
            site.setProxyFaults(FAULTY_SERVER, PASS_THROUGH);
        }
        for (int i = 0; i < MIXED_CALLERS; i++) {
            assertThat(texts.get(i).join()).isEqualTo(completions.get(i).expectedText());
        }
    }

    @Test
    void responsesThatCannotContinueAreMarkedIncomplete() {
        Completion completion = completion(TOKENS);
        CompletableFuture<String> streamed =
                CompletableFuture.supplyAsync(() -> readRawResponse(completion, true), pool);
        CompletableFuture<String> unstreamed =
                CompletableFuture.supplyAsync(() -> readRawResponse(completion, false), pool);
        awaitTokens(2 * TOKENS_BEFORE_FAULT);
        DECODE_SERVERS.forEach(server -> site.backend(server).kill());
        assertThat(streamed.join())
                .startsWith("HTTP/1.1 200")
                .contains("\"code\":\"incomplete_answer\"")
                .doesNotContain("[DONE]")
                .doesNotEndWith(LAST_CHUNK);
        assertThat(unstreamed.join())
                .startsWith("HTTP/1.1 200")
                .doesNotContain("finish_reason")
                .doesNotEndWith(LAST_CHUNK);
    }

    @ParameterizedTest
    @ValueSource(longs = {SEED, SEED + 1})
    void manyCallersGetTheirOwnResponsesWhileConnectionsAreReset(long seed) {
        Random random = new Random(seed);
        AtomicBoolean stopped = new AtomicBoolean();
        AtomicInteger completeLargeResponses = new AtomicInteger();
        try {
            List<Completion> completions = new ArrayList<>();
            List<CompletableFuture<String>> texts = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Completion completion = completion(60 + random.nextInt(150));
                boolean streamed = random.nextBoolean();
                completions.add(completion);
                texts.add(
                        CompletableFuture.supplyAsync(() -> readText(completion, streamed), pool));
            }
            for (int i = 0; i < LARGE_CALLERS; i++) {
                CompletableFuture.runAsync(
                        () -> readLargeResponses(stopped, completeLargeResponses), pool);
            }
            resetRandomConnections(random);
            for (int i = 0; i < CALLERS; i++) {
                assertThat(texts.get(i).join())
                        .as("seed %d, caller %d", seed, i)
                        .isEqualTo(completions.get(i).expectedText());
            }
            assertThat(completeLargeResponses).hasPositiveValue();
        } finally {
            stopped.set(true);
        }
    }

    /** Resets a random connection each time the engines have generated enough further tokens. */
    private static void resetRandomConnections(Random random) {
        List<String> servers = List.of("d1", "d2", "p1", "d1", "d2", "s1", "s2");
        long threshold = site.sumOverEngines("decodedTokens");
        for (int i = 0; i < RESETS; i++) {
            threshold += 200 + random.nextInt(700);
            long resetAtTokens = threshold;
            Waiting.await(
                    "enough tokens are generated",
                    WAIT_MILLIS,
                    () -> site.sumOverEngines("decodedTokens") >= resetAtTokens);
            site.resetConnections(servers.get(random.nextInt(servers.size())));
        }
    }

    private static void readLargeResponses(AtomicBoolean stopped, AtomicInteger completeResponses) {
        while (!stopped.get()) {
            try {
                Response response =
                        site.call(
                                0, "GET", "/apps/orders/stock/large/" + LARGE_BYTES, Map.of(), "");
                if (response.status() == 200) {
                    assertThat(response.body()).hasSize(LARGE_BYTES);
                    completeResponses.incrementAndGet();
                }
            } catch (IOException e) {
                // The broken connection marks the response as incomplete.
                continue;
            }
        }
    }

    private static Completion completion(int tokens) {
        return new Completion("drafts", "m1", "the frame of caller " + ++prompts, tokens);
    }

    private static String readText(Completion completion, boolean streamed) {
        try {
            if (!streamed) {
                Response response = site.complete(0, completion);
                assertThat(response.status()).as(response.body()).isEqualTo(200);
                return text(response);
            }
            HttpResponse<InputStream> streamResponse = open(completion);
            assertThat(streamResponse.statusCode()).isEqualTo(200);
            try (EventStream events = new EventStream(streamResponse.body())) {
                events.readAll();
                assertThat(events.isDone()).as("error %s", events.error()).isTrue();
                return events.text();
            }
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    private static HttpResponse<InputStream> open(Completion completion) throws IOException {
        return site.http()
                .open(
                        "POST",
                        site.entry(0).address(),
                        "/v1/completions",
                        Map.of(),
                        completion.body(true));
    }

    private static String text(Response response) {
        JsonElement choice = response.json().getAsJsonArray("choices").get(0);
        return choice.getAsJsonObject().get("text").getAsString();
    }

    /** Returns all bytes received until the connection is closed or reset. */
    private static String readRawResponse(Completion completion, boolean streamed) {
        StringBuilder text = new StringBuilder();
        try (SocketCaller caller = new SocketCaller(site.entry(0).address())) {
            caller.post(
                    "/v1/completions", "X-Foxtailshed-Class: short\r\n", completion.body(streamed));
            byte[] buffer = new byte[LARGE_BYTES];
            int count = caller.input().read(buffer);
            while (count >= 0) {
                text.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
                count = caller.input().read(buffer);
            }
        } catch (SocketTimeoutException e) {
            throw new IllegalStateException(
                    "the connection was neither closed nor reset after: " + text, e);
        } catch (IOException e) {
            return text.toString();
        }
        return text.toString();
    }

    private static void awaitTokens(int count) {
        long before = site.sumOverEngines("decodedTokens");
        Waiting.await(
                count + " tokens are generated",
                WAIT_MILLIS,
                () -> site.sumOverEngines("decodedTokens") >= before + count);
    }

    private static long countHeldSlots(String server) {
        return site.readBackendState(server, "/control/counts").get("heldSlots").getAsLong();
    }

    private static void injectFault(String fault, String server) {
        switch (fault) {
            case "engine-killed" -> site.backend(server).kill();
            case "sidecar-killed" -> site.sidecar(server).kill();
            case "link-cut" -> site.resetConnections(server);
            case "frozen-both" -> site.setProxyFaults(server, "{\"mode\":\"freeze\"}");
            case "frozen-to-caller" ->
                    site.setProxyFaults(
                            server, "{\"mode\":\"freeze\",\"direction\":\"to-caller\"}");
            default ->
                    site.setProxyFaults(
                            server, "{\"mode\":\"freeze\",\"direction\":\"to-target\"}");
        }
    }
}
