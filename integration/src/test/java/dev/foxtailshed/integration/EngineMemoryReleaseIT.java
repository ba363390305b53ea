package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.foxtailshed.harness.Completion;
import dev.foxtailshed.harness.Installation;
import dev.foxtailshed.harness.JavaProcess;
import dev.foxtailshed.harness.Waiting;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that engines free the memory of requests within a bound after a caller disconnects or an
 * entry, a sidecar or an engine fails.
 */
class EngineMemoryReleaseIT {

    private static final long LEASE_MILLIS = 2_000;
    private static final long LIMIT_MILLIS = LEASE_MILLIS + 3_000;
    private static final long PHASE_MILLIS = 10_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int DECODE_SLOTS = 4;
    private static final int LONG_PROMPT_WORDS = 2_000;
    private static final int LONG_ANSWER_TOKENS = 1_500;
    private static final String SLOW_ENGINE = "{\"slowFactor\":50}";
    private static final String SLOW_TRANSFER_LINK = "{\"linkFactor\":100000}";
    private static final String NO_FAULTS = "{}";
    private static final List<String> DECODE_SERVERS = List.of("d1", "d2");
    private static final List<String> ENGINES = List.of("p1", "d1", "d2");

    private static Installation site;
    private static int entry;
    private final List<SocketCaller> callers = new ArrayList<>();
    private int requests;

    @BeforeAll
    static void start() throws IOException {
        JsonObject manifest = Manifests.small();
        Manifests.set(manifest, "pools", "decode", "requestSlots", DECODE_SLOTS / 2);
        // With a short lifetime, engines would evict exports themselves and hide a missing release.
        site =
                Installation.builder()
                        .manifest(manifest.toString())
                        .engineArguments("--export-ttl-millis", "60000")
                        .start();
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    @AfterEach
    void clearFaults() throws IOException {
        disconnectCallers();
        for (String engine : ENGINES) {
            setEngineFaults(engine, NO_FAULTS);
        }
        site.awaitServing(entry);
    }

    @ParameterizedTest
    @CsvSource({
        "prefill,true", "prefill,false",
        "import,true", "import,false",
        "decode,true", "decode,false"
    })
    void memoryIsFreedWhenCallerDisconnects(String phase, boolean streamed) throws IOException {
        startRequestInPhase(phase, streamed);
        disconnectCallers();
        awaitMemoryFreed(
                "caller disconnects in " + phase + (streamed ? ", streamed" : ", unstreamed"));
    }

    @Test
    void queuedRequestOfDisconnectedCallerNeverRuns() throws IOException {
        for (int i = 0; i < DECODE_SLOTS; i++) {
            openRequest(true, "short prompt");
        }
        awaitPhase("decode", DECODE_SLOTS);
        long prefillsBefore = site.sumOverEngines("prefills");
        SocketCaller queued = openRequest(true, "one too many");
        Waiting.await(
                "one request is queued",
                PHASE_MILLIS,
                () -> countRequestsInFlight() == DECODE_SLOTS + 1);
        queued.disconnect();
        long millis =
                Waiting.await(
                        "the queued request is removed",
                        LIMIT_MILLIS,
                        () -> countRequestsInFlight() == DECODE_SLOTS);
        report("caller disconnects in the queue", millis);
        disconnectCallers();
        awaitMemoryFreed("all callers disconnect");
        assertThat(site.sumOverEngines("prefills")).isEqualTo(prefillsBefore);
    }

    @ParameterizedTest
    @CsvSource({"import", "decode"})
    void memoryIsFreedWhenEntryIsKilled(String phase) throws IOException {
        startRequestInPhase(phase, true);
        site.entry(entry).kill();
        awaitMemoryFreed("entry killed in " + phase);
        entry = site.addEntry();
    }

    @ParameterizedTest
    @CsvSource({"import", "decode"})
    void memoryIsFreedWhenEntryIsFrozenPastItsLease(String phase) throws IOException {
        JavaProcess frozen = site.entry(entry);
        startRequestInPhase(phase, true);
        frozen.freeze();
        try {
            awaitMemoryFreed("entry frozen in " + phase);
            disconnectCallers();
        } finally {
            frozen.resume();
        }
        awaitMemoryFreed("entry resumed after its caller disconnected");
    }

    @ParameterizedTest
    @CsvSource({"p1,import", "d1,decode"})
    void memoryIsFreedWhenSidecarIsKilledAndReplaced(String server, String phase)
            throws IOException {
        for (int i = 0; i < DECODE_SLOTS; i++) {
            startRequestInPhase(phase, true);
        }
        long faultNanos = System.nanoTime();
        site.sidecar(server).kill();
        disconnectCallers();
        site.restartSidecar(server);
        String fault = "sidecar of " + server + " replaced in " + phase;
        Waiting.await(fault, LIMIT_MILLIS, () -> countHeldResources() == 0);
        report(fault + ", including its start", (System.nanoTime() - faultNanos) / NANOS_PER_MILLI);
    }

    @Test
    void memoryIsFreedWhenDecodeServersAreKilledAfterPrefill() throws IOException {
        startRequestInPhase("import", true);
        DECODE_SERVERS.forEach(server -> site.backend(server).kill());
        awaitMemoryFreed("decode servers killed after the prefill");
        disconnectCallers();
        for (String server : DECODE_SERVERS) {
            site.sidecar(server).kill();
            site.restartBackend(server);
            site.restartSidecar(server);
        }
    }

    @Test
    void memoryIsFreedWhenExportIsNeverFetched() throws IOException {
        startRequestInPhase("prefill", true);
        DECODE_SERVERS.forEach(server -> site.sidecar(server).freeze());
        try {
            setEngineFaults("p1", NO_FAULTS);
            awaitPhase("export", 1);
            awaitMemoryFreed("export that is never fetched");
            disconnectCallers();
        } finally {
            DECODE_SERVERS.forEach(server -> site.sidecar(server).resume());
        }
        awaitMemoryFreed("decode sidecars resumed");
    }

    private void disconnectCallers() throws IOException {
        for (SocketCaller caller : callers) {
            caller.disconnect();
        }
        callers.clear();
    }

    private void startRequestInPhase(String phase, boolean streamed) throws IOException {
        long before = countInPhase(phase);
        if (phase.equals("prefill")) {
            setEngineFaults("p1", SLOW_ENGINE);
        } else if (phase.equals("import")) {
            for (String server : DECODE_SERVERS) {
                setEngineFaults(server, SLOW_TRANSFER_LINK);
            }
        }
        String prompt = phase.equals("prefill") ? "word ".repeat(LONG_PROMPT_WORDS) : "short";
        openRequest(streamed, prompt);
        awaitPhase(phase, before + 1);
    }

    private SocketCaller openRequest(boolean streamed, String words) throws IOException {
        String prompt = "request " + ++requests + " " + words;
        SocketCaller caller = new SocketCaller(site.entry(entry).address());
        Completion completion = new Completion("summaries", "m1", prompt, LONG_ANSWER_TOKENS);
        caller.post("/v1/completions", completion.body(streamed));
        callers.add(caller);
        return caller;
    }

    private static void awaitPhase(String phase, long count) {
        Waiting.await(count + " in " + phase, PHASE_MILLIS, () -> countInPhase(phase) >= count);
    }

    private static long countInPhase(String phase) {
        long count = 0;
        for (String engine : ENGINES) {
            for (JsonElement request :
                    site.readBackendState(engine, "/v1/requests").getAsJsonArray("requests")) {
                String requestPhase = request.getAsJsonObject().get("phase").getAsString();
                count += requestPhase.equals(phase) ? 1 : 0;
            }
        }
        return count;
    }

    private static long countRequestsInFlight() {
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

    private static void awaitMemoryFreed(String fault) {
        long millis = Waiting.await(fault, LIMIT_MILLIS, () -> countHeldResources() == 0);
        report(fault, millis);
    }

    private static long countHeldResources() {
        return site.sumOverEngines("heldSlots")
                + site.sumOverEngines("heldPieces")
                + site.sumOverEngines("heldExports");
    }

    private static void report(String fault, long millis) {
        System.out.println("memory freed: " + fault + ": " + millis + " ms");
    }

    private static void setEngineFaults(String engine, String faults) throws IOException {
        site.http()
                .call("PUT", site.backend(engine).address(), "/control/faults", Map.of(), faults);
    }
}
