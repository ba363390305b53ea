package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import dev.foxtailshed.harness.Completion;
import dev.foxtailshed.harness.HttpCaller.Response;
import dev.foxtailshed.harness.Installation;
import dev.foxtailshed.harness.OperatorCommand;
import dev.foxtailshed.harness.Waiting;
import dev.foxtailshed.kernel.record.RecordBatch;
import dev.foxtailshed.kernel.record.RecordCodec;
import dev.foxtailshed.kernel.record.RequestRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;

/**
 * Compares the record of requests with the responses that callers received, with and without
 * faults. The tests build on each other.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class RequestRecordIT {

    private static final long WRITE_LIMIT_MILLIS = 10_000;

    private static Installation site;
    private static final Map<String, Response> RESPONSES = new HashMap<>();

    @BeforeAll
    static void start() throws IOException {
        site =
                Installation.builder()
                        .entries(2)
                        .entryArguments("--record-period-millis", "100")
                        .sidecarArguments("--record-period-millis", "100")
                        .start();
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    @Test
    @Order(1)
    void recordIsConsistentAndMatchesResponsesWithoutFaults() throws IOException {
        for (int i = 0; i < 10; i++) {
            addResponse(site.complete(i % 2, new Completion("summaries", "m1", "gate " + i, 5)));
            addResponse(site.call(i % 2, "POST", "/apps/orders/wire-orders", Map.of(), "{}"));
            addResponse(site.call(i % 2, "GET", "/apps/orders/stock", Map.of(), ""));
        }
        awaitConsistent();
        assertRecordMatchesResponses();
    }

    @Test
    @Order(2)
    void storeOutageDelaysTheRecordWithoutLoss() throws IOException {
        site.setPlatformFaults("{\"outage\":true}");
        addResponse(site.call(0, "GET", "/apps/orders/stock", Map.of(), ""));
        site.setPlatformFaults("{\"outage\":false,\"loseAnswers\":3}");
        addResponse(site.call(1, "GET", "/apps/orders/stock", Map.of(), ""));
        awaitConsistent();
        assertRecordMatchesResponses();
    }

    @Test
    @Order(3)
    void recordMatchesResponsesUnderFaults() throws IOException {
        site.resetConnections("s1");
        addResponse(site.call(0, "POST", "/apps/orders/wire-orders", Map.of(), "{}"));
        site.sidecar("s2").kill();
        for (int i = 0; i < 5; i++) {
            addResponse(site.call(i % 2, "POST", "/apps/orders/wire-orders", Map.of(), "{}"));
        }
        site.restartSidecar("s2");
        Waiting.await(
                "the record contains all requests",
                WRITE_LIMIT_MILLIS,
                () -> recordedRequests().keySet().containsAll(RESPONSES.keySet()));
        assertRecordMatchesResponses();
        assertThat(findingKinds()).noneMatch(kind -> kind.equals("DISAGREEMENT"));
    }

    @Test
    @Order(4)
    void runOfKilledEntryIsReportedAsPending() {
        Map<String, String> slow =
                Map.of(
                        "X-Call-Id", "orphan",
                        "X-Stand-In-Delay-Millis", "1000",
                        "X-Stand-In-Delay-At", "after");
        CompletableFuture<Void> call =
                CompletableFuture.runAsync(
                        () -> {
                            assertThatThrownBy(
                                            () ->
                                                    site.call(
                                                            1,
                                                            "POST",
                                                            "/apps/orders/wire-orders",
                                                            slow,
                                                            "{}"))
                                    .isInstanceOf(IOException.class);
                        });
        Waiting.await("the order runs", 5_000, () -> site.countRuns("orphan") == 1);
        site.entry(1).kill();
        call.join();
        Waiting.await(
                "the run is reported without its request",
                WRITE_LIMIT_MILLIS,
                () -> findingKinds().contains("PENDING"));
        assertThat(findingKinds()).doesNotContain("DISAGREEMENT");
    }

    @Test
    @Order(5)
    void deletedBatchIsReportedAsGap() throws IOException {
        JsonObject first =
                site.http()
                        .call("GET", site.platform(), "/v1/list?prefix=records/", Map.of(), "")
                        .json()
                        .getAsJsonArray("objects")
                        .get(0)
                        .getAsJsonObject();
        Response deleted =
                site.http()
                        .call(
                                "DELETE",
                                site.platform(),
                                "/v1/objects/" + first.get("name").getAsString(),
                                Map.of("If-Match", '"' + first.get("version").getAsString() + '"'),
                                "");
        assertThat(deleted.status()).isEqualTo(204);
        assertThat(findingKinds()).contains("GAP");
    }

    private static void addResponse(Response response) {
        assertThat(response.requestId()).isNotEmpty();
        RESPONSES.put(response.requestId(), response);
    }

    private static void awaitConsistent() {
        Waiting.await(
                "the record is consistent", WRITE_LIMIT_MILLIS, RequestRecordIT::isConsistent);
    }

    private static boolean isConsistent() {
        return recordedRequests().keySet().containsAll(RESPONSES.keySet())
                && findingKinds().isEmpty();
    }

    private static void assertRecordMatchesResponses() {
        Map<String, RequestRecord> recorded = recordedRequests();
        for (Map.Entry<String, Response> received : RESPONSES.entrySet()) {
            RequestRecord record = recorded.get(received.getKey());
            Response response = received.getValue();
            String code = response.status() == 200 ? "" : response.errorCode();
            assertThat(record.code()).isEqualTo(code);
            if (response.status() != 200) {
                assertThat(record.verdict().label()).isEqualTo(response.verdict());
            }
        }
    }

    /** Reads all batches of the record and returns their requests by request id. */
    private static Map<String, RequestRecord> recordedRequests() {
        Map<String, RequestRecord> requests = new HashMap<>();
        try {
            JsonObject page = site.getAsOperator(0, "records").json();
            for (JsonElement object : page.getAsJsonArray("objects")) {
                String name = object.getAsJsonObject().get("name").getAsString();
                RecordBatch batch =
                        RecordCodec.decode(site.readBytesAsOperator(0, "record?name=" + name))
                                .orElseThrow();
                batch.requests().forEach(request -> requests.put(request.request(), request));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return requests;
    }

    /** Runs {@code foxtailshed audit verify} and returns the kinds of its findings. */
    private static List<String> findingKinds() {
        String output = OperatorCommand.run(site.entry(0), "--json", "audit", "verify").output();
        JsonObject report = JsonParser.parseString(output).getAsJsonObject();
        List<String> kinds = new ArrayList<>();
        report.getAsJsonArray("findings")
                .forEach(f -> kinds.add(f.getAsJsonObject().get("kind").getAsString()));
        return kinds;
    }
}
