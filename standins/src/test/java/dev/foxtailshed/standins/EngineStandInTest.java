package dev.foxtailshed.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests of {@link EngineStandIn}. */
class EngineStandInTest {

    /** The token suffix: the first four bytes of the SHA-256 of {@code "m\nhello big world"}. */
    private static final String SUFFIX = "-4d6d6f6c";

    private static final String PROMPT = "hello big world";
    private static final long HOUR_MILLIS = 3_600_000;

    private final AtomicInteger crashes = new AtomicInteger();
    private TestCaller caller;
    private EngineStandIn prefill;
    private EngineStandIn decode;

    @BeforeEach
    void start() throws Exception {
        caller = new TestCaller();
        prefill = start(EngineSettings.builder().role("prefill").exportTtlMillis(HOUR_MILLIS));
        decode = start(EngineSettings.builder().tokenMillis(1));
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        prefill.close();
        decode.close();
    }

    @Test
    void prefillThenDecodeStreamsTheExpectedTextAndFreesAllMemory() throws Exception {
        JsonObject export = export(prefill, PROMPT);
        assertThat(export.get("size_bytes").getAsLong()).isEqualTo(3000);
        assertHeld(prefill, 0, 1, 1);

        String events = decode(export, PROMPT, 5, "").send().getContentAsString();

        assertThat(text(events)).isEqualTo(tokens(0, 5));
        assertThat(events).contains("\"finish_reason\":\"length\"").endsWith("data: [DONE]\n\n");
        assertHeld(prefill, 0, 0, 0);
        assertHeld(decode, 0, 0, 0);
    }

    @Test
    void resumedDecodeStreamsTheRemainingTokens() throws Exception {
        String resumed =
                ",\"continue_text\":\"" + tokens(0, 3).strip() + "\",\"continue_tokens\":3";
        String events =
                decode(export(prefill, PROMPT), PROMPT, 5, resumed).send().getContentAsString();
        assertThat(text(events)).isEqualTo(tokens(3, 5));
    }

    @Test
    void stopWordEndsDecodeWithFinishReasonStop() throws Exception {
        String prompt = "short stop-after=2";
        String events = decode(export(prefill, prompt), prompt, 50, "").send().getContentAsString();
        assertThat(events.split("data: ")).hasSize(4);
        assertThat(events).contains("\"finish_reason\":\"stop\"");
    }

    @Test
    void decodeOfAnEvictedExportFailsWith410() throws Exception {
        try (EngineStandIn shortLived = start(EngineSettings.builder().exportTtlMillis(1))) {
            JsonObject export = export(shortLived, PROMPT);
            await().until(() -> counts(shortLived).get("exportsEvicted").getAsInt() == 1);

            ContentResponse response = decode(export, PROMPT, 5, "").send();
            assertThat(response.getStatus()).isEqualTo(410);
            assertThat(response.getContentAsString()).contains("status 404");
            assertHeld(shortLived, 0, 0, 0);
            assertHeld(decode, 0, 0, 0);
        }
    }

    @Test
    void cancelFreesExportAndRunningDecode() throws Exception {
        try (EngineStandIn slow = start(EngineSettings.builder().tokenMillis(HOUR_MILLIS))) {
            CompletableFuture<ContentResponse> response =
                    caller.sendAsync(decodeAt(slow, export(prefill, PROMPT), PROMPT, 5, ""));
            await().until(() -> caller.get(slow.address(), "/v1/requests").contains("decode"));
            export(prefill, PROMPT);
            assertHeld(slow, 1, 1, 0);

            for (EngineStandIn engine : new EngineStandIn[] {slow, prefill}) {
                caller.send(engine.address(), "POST", "/v1/cancel", "{\"request_id\":\"r\"}");
                assertHeld(engine, 0, 0, 0);
            }
            assertThat(response.get().getContentAsString()).contains("abort");
        }
    }

    @Test
    void callerDisconnectBeforeTheResponseFreesTheRequest() throws Exception {
        try (EngineStandIn slow = start(EngineSettings.builder().tokenMillis(HOUR_MILLIS))) {
            Socket socket = new Socket("127.0.0.1", slow.address().getPort());
            String body = completion(PROMPT, 1, "{\"do_remote_decode\":true}", "");
            String head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: ";
            String call = head + body.length() + "\r\n\r\n" + body;
            socket.getOutputStream().write(call.getBytes(StandardCharsets.UTF_8));
            await().until(() -> counts(slow).get("heldSlots").getAsInt() == 1);

            socket.close();

            await().until(() -> counts(slow).get("cancels").getAsInt() == 1);
            assertHeld(slow, 0, 0, 0);
        }
    }

    @Test
    void fullMemoryRefusesRequestsWith429() throws Exception {
        try (EngineStandIn small = start(EngineSettings.builder().kvPieces(1))) {
            export(small, PROMPT);
            assertThat(caller.get(small.address(), "/v1/load")).contains("\"free_pieces\":0");
            String lagging = "{\"loadLagMillis\":" + HOUR_MILLIS + "}";
            caller.send(small.address(), "PUT", "/control/faults", lagging);
            assertThat(caller.get(small.address(), "/v1/load")).contains("\"free_pieces\":1");
            String body = completion(PROMPT, 1, "{\"do_remote_decode\":true}", "");
            ContentResponse second = caller.send(small.address(), "POST", "/v1/completions", body);
            assertThat(second.getStatus()).isEqualTo(429);
            assertHeld(small, 0, 1, 1);
        }
    }

    @Test
    void lowerPriorityNumberIsPrefilledFirst() throws Exception {
        EngineSettings.Builder settings = EngineSettings.builder().prefillBatch(1);
        try (EngineStandIn engine = start(settings.prefillTokensPerSecond(10))) {
            String transfer = "{\"do_remote_decode\":true}";
            String later = completion("word ".repeat(5000), 1, transfer, ",\"priority\":5");
            caller.sendAsync(
                    caller.request(engine.address(), "POST", "/v1/completions", later)
                            .headers(h -> h.put("X-Request-Id", "later")));
            await().until(() -> counts(engine).get("heldSlots").getAsInt() == 1);

            export(engine, "first");

            assertThat(caller.get(engine.address(), "/v1/requests"))
                    .contains("\"request_id\":\"later\",\"phase\":\"prefill\"");
        }
    }

    @Test
    void repeatedPrefixIsServedFromThePrefixCache() throws Exception {
        try (EngineStandIn engine = start(EngineSettings.builder().tokensPerPiece(1))) {
            export(engine, PROMPT);
            String body = completion(PROMPT + " more", 1, "{\"do_remote_decode\":true}", "");
            ContentResponse second = caller.send(engine.address(), "POST", "/v1/completions", body);
            assertThat(second.getContentAsString()).contains("\"cached_tokens\":3");
            assertThat(counts(engine).get("prefilledTokens").getAsInt()).isEqualTo(4);
            assertThat(caller.get(engine.address(), "/v1/cache_events?after=3"))
                    .contains("\"number\":4")
                    .doesNotContain("\"number\":3");
        }
    }

    @Test
    void outdatedFencingNumberIsRefusedIfChecked() throws Exception {
        try (EngineStandIn unchecked = start(EngineSettings.builder().checksFencing(false))) {
            assertThat(sendCommand(decode, 7)).isEqualTo(200);
            assertThat(sendCommand(decode, 6)).isEqualTo(409);
            assertThat(sendCommand(decode, 7)).isEqualTo(200);
            assertThat(counts(decode).get("ordersRefused").getAsInt()).isEqualTo(1);
            assertThat(sendCommand(unchecked, 7)).isEqualTo(200);
            assertThat(sendCommand(unchecked, 6)).isEqualTo(200);
        }
    }

    @Test
    void crashDecodeWordCrashesAfterThreeTokens() throws Exception {
        String prompt = "please crash-decode stop-after=4";
        decode(export(prefill, prompt), prompt, 9, "").send();
        assertThat(crashes).hasValue(1);
        assertThat(counts(decode).get("decodedTokens").getAsInt()).isEqualTo(4);
    }

    private EngineStandIn start(EngineSettings.Builder settings) throws Exception {
        return EngineStandIn.builder()
                .settings(settings.build())
                .crash(crashes::incrementAndGet)
                .start();
    }

    private JsonObject export(EngineStandIn engine, String prompt) throws Exception {
        String body = completion(prompt, 1, "{\"do_remote_decode\":true}", "");
        Request request = caller.request(engine.address(), "POST", "/v1/completions", body);
        ContentResponse response = request.headers(h -> h.put("X-Request-Id", "r")).send();
        assertThat(response.getStatus()).isEqualTo(200);
        JsonObject json = JsonParser.parseString(response.getContentAsString()).getAsJsonObject();
        return json.getAsJsonObject("kv_transfer_params");
    }

    private Request decode(JsonObject export, String prompt, int maxTokens, String extraFields) {
        return decodeAt(decode, export, prompt, maxTokens, extraFields);
    }

    private Request decodeAt(
            EngineStandIn engine,
            JsonObject export,
            String prompt,
            int maxTokens,
            String extraFields) {
        export.addProperty("do_remote_prefill", true);
        String body =
                completion(prompt, maxTokens, export.toString(), ",\"stream\":true" + extraFields);
        return caller.request(engine.address(), "POST", "/v1/completions", body)
                .headers(h -> h.put("X-Request-Id", "r"));
    }

    private static String completion(
            String prompt, int maxTokens, String transfer, String extraFields) {
        return String.format(
                "{\"model\":\"m\",\"prompt\":\"%s\",\"max_tokens\":%d,"
                        + "\"kv_transfer_params\":%s%s}",
                prompt, maxTokens, transfer, extraFields);
    }

    private int sendCommand(EngineStandIn engine, long fencingNumber) throws Exception {
        InetSocketAddress engineAddress = engine.address();
        String body = "{\"order\":\"load_model\",\"model\":\"m\"}";
        Request request = caller.request(engineAddress, "POST", "/v1/orders", body);
        String number = Long.toString(fencingNumber);
        return request.headers(h -> h.put("X-Fencing-Number", number)).send().getStatus();
    }

    private JsonObject counts(EngineStandIn engine) throws Exception {
        String counts = caller.get(engine.address(), "/control/counts");
        return JsonParser.parseString(counts).getAsJsonObject();
    }

    private void assertHeld(EngineStandIn engine, int slots, int pieces, int exports)
            throws Exception {
        JsonObject counts = counts(engine);
        assertThat(counts.get("heldSlots").getAsInt()).isEqualTo(slots);
        assertThat(counts.get("heldPieces").getAsInt()).isEqualTo(pieces);
        assertThat(counts.get("heldExports").getAsInt()).isEqualTo(exports);
    }

    private static String tokens(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(i -> " w" + i + SUFFIX)
                .collect(Collectors.joining());
    }

    private static String text(String events) {
        return Arrays.stream(events.split("data: "))
                .filter(e -> e.startsWith("{"))
                .map(e -> JsonParser.parseString(e).getAsJsonObject())
                .map(e -> e.getAsJsonArray("choices").get(0).getAsJsonObject())
                .map(c -> c.get("text").getAsString())
                .collect(Collectors.joining());
    }
}
