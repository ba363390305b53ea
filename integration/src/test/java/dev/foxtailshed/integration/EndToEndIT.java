package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.harness.Completion;
import dev.foxtailshed.harness.EventStream;
import dev.foxtailshed.harness.HttpCaller.Response;
import dev.foxtailshed.harness.Installation;
import dev.foxtailshed.harness.Waiting;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests requests through entries, sidecars and backend servers without faults. */
class EndToEndIT {

    private static Installation site;

    @BeforeAll
    static void start() throws IOException {
        site = Installation.builder().entries(2).start();
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    @Test
    void streamedResponseIsCompleteAndFreesAllMemory() throws IOException {
        Completion completion = new Completion("summaries", "m1", "the north gate frame", 40);
        try (EventStream events = new EventStream(site.openCompletion(0, completion))) {
            events.readAll();
            assertThat(events.text()).isEqualTo(completion.expectedText());
            assertThat(events.isDone()).isTrue();
        }
        Waiting.await("engine memory is free", 5_000, () -> site.sumOverEngines("heldPieces") == 0);
    }

    @Test
    void unstreamedResponseContainsTextAndUsage() throws IOException {
        Completion completion = new Completion("drafts", "m1", "a care sheet for box", 25);
        Response response = site.complete(1, completion);
        assertThat(response.status()).isEqualTo(200);
        assertThat(
                        response.json()
                                .getAsJsonArray("choices")
                                .get(0)
                                .getAsJsonObject()
                                .get("text")
                                .getAsString())
                .isEqualTo(completion.expectedText());
        assertThat(response.json().getAsJsonObject("usage").get("completion_tokens").getAsInt())
                .isEqualTo(25);
    }

    @Test
    void callReachesItsServiceOnce() throws IOException {
        Response response =
                site.call(
                        0,
                        "POST",
                        "/apps/orders/wire-orders",
                        Map.of("X-Call-Id", "order-1"),
                        "{}");
        assertThat(response.status()).isEqualTo(200);
        assertThat(site.countRuns("order-1")).isEqualTo(1);
    }

    @Test
    void largeResponseArrivesCompletely() throws IOException {
        Response response = site.call(0, "GET", "/apps/orders/stock/large/1048576", Map.of(), "");
        assertThat(response.body()).hasSize(1_048_576);
    }

    @Test
    void unknownDeploymentIsRefusedAsNotRun() throws IOException {
        Response response =
                site.call(
                        0,
                        "POST",
                        "/v1/completions",
                        Map.of(),
                        "{\"model\":\"nobody\",\"prompt\":\"x\"}");
        assertThat(response.status()).isEqualTo(404);
        assertThat(response.verdict()).isEqualTo("not-run");
        assertThat(response.errorCode()).isEqualTo("not_found");
    }
}
