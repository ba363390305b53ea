package dev.foxtailshed.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link PlatformStandIn}. */
class PlatformStandInTest {

    private static final String OBJECT = "/v1/objects/a/b";

    private PlatformStandIn platform;
    private TestCaller caller;
    private InetSocketAddress platformAddress;

    @BeforeEach
    void start() throws Exception {
        platform = PlatformStandIn.builder().start();
        caller = new TestCaller();
        platformAddress = platform.address();
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        platform.close();
    }

    @Test
    void racingConditionalUpdatesHaveOneWinnerPerVersion() throws Exception {
        String version = created("first");
        for (int round = 0; round < 20; round++) {
            List<CompletableFuture<ContentResponse>> racers = new ArrayList<>();
            for (int racer = 0; racer < 16; racer++) {
                racers.add(caller.sendAsync(put(version, round + "-" + racer)));
            }
            List<ContentResponse> winners = new ArrayList<>();
            List<String> conflictVersions = new ArrayList<>();
            for (CompletableFuture<ContentResponse> racer : racers) {
                ContentResponse response = racer.get();
                if (response.getStatus() == 200) {
                    winners.add(response);
                } else {
                    assertThat(response.getStatus()).isEqualTo(412);
                    conflictVersions.add(eTag(response));
                }
            }
            assertThat(winners).hasSize(1);
            assertThat(conflictVersions).containsOnly(eTag(winners.get(0)));
            version = eTag(winners.get(0));
        }
    }

    @Test
    void watchReturnsANewerVersionOnceWritten() throws Exception {
        String version = created("old");
        CompletableFuture<ContentResponse> watch = caller.sendAsync(watch(version, 60_000));
        await().until(
                        () ->
                                caller.get(platformAddress, "/control/counts")
                                        .contains("\"watchesOpen\":1"));

        String newer = eTag(put(version, "new").send());

        assertThat(watch.get().getContentAsString()).isEqualTo("new");
        assertThat(eTag(watch.get())).isEqualTo(newer);
        assertThat(watch(newer, 1).send().getStatus()).isEqualTo(304);
        assertThat(caller.get(platformAddress, "/control/counts")).contains("\"watchesOpen\":0");
    }

    @Test
    void watchOfADeletedObjectReturnsNotFoundAndVersionsKeepIncreasing() throws Exception {
        String version = created("old");
        Request delete = caller.request(platformAddress, "DELETE", OBJECT, "");
        assertThat(delete.headers(h -> h.put(HttpHeader.IF_MATCH, version)).send().getStatus())
                .isEqualTo(204);

        ContentResponse deleted = watch(version, 60_000).send();

        assertThat(deleted.getStatus()).isEqualTo(404);
        assertThat(number(created("again"))).isGreaterThan(number(eTag(deleted)));
    }

    @Test
    void loseAnswersAppliesTheWriteWithoutAResponse() throws Exception {
        String version = created("old");
        caller.send(platformAddress, "PUT", "/control/faults", "{\"loseAnswers\":1}");

        assertThatThrownBy(() -> put(version, "new").send()).isInstanceOf(ExecutionException.class);

        assertThat(caller.get(platformAddress, OBJECT)).isEqualTo("new");
        assertThat(put(version, "newer").send().getStatus()).isEqualTo(412);
    }

    @Test
    void faultsTakeEffectUntilCleared() throws Exception {
        put(created("old"), "new").send();
        caller.send(platformAddress, "PUT", "/control/faults", "{\"staleReads\":true}");
        assertThat(caller.get(platformAddress, OBJECT)).isEqualTo("old");
        CompletableFuture<ContentResponse> watch = caller.sendAsync(watch("\"9\"", 60_000));
        await().until(
                        () ->
                                caller.get(platformAddress, "/control/counts")
                                        .contains("\"watchesOpen\":1"));
        caller.send(platformAddress, "PUT", "/control/faults", "{\"outage\":true}");
        assertThat(watch.get().getStatus()).isEqualTo(503);
        assertThat(caller.send(platformAddress, "GET", OBJECT, "").getStatus()).isEqualTo(503);
        caller.send(platformAddress, "PUT", "/control/faults", "{}");
        assertThat(caller.get(platformAddress, OBJECT)).isEqualTo("new");
    }

    @Test
    void listPagesAreOrderedByName() throws Exception {
        for (String name : List.of("p/c", "p/a", "p/b", "q/a")) {
            create("/v1/objects/" + name, "x");
        }
        assertThat(caller.get(platformAddress, "/v1/list?prefix=p/&after=p/a&limit=1"))
                .contains("\"name\":\"p/b\"")
                .contains("\"more\":true")
                .doesNotContain("p/c");
        assertThat(caller.get(platformAddress, "/v1/list?prefix=p/&after=p/b&limit=1"))
                .contains("\"name\":\"p/c\"")
                .contains("\"more\":false");
    }

    @Test
    void instanceListLags() throws Exception {
        String lagging = "{\"instanceLagMillis\":3600000}";
        caller.send(platformAddress, "PUT", "/control/faults", lagging);
        String body =
                "{\"role\":\"sidecar\",\"zone\":\"a\",\"address\":\"127.0.0.1:1\","
                        + "\"state\":\"live\"}";
        caller.send(platformAddress, "PUT", "/control/instances/llm-1", body);
        assertThat(caller.get(platformAddress, "/v1/instances")).isEqualTo("{\"instances\":[]}");
        caller.send(platformAddress, "PUT", "/control/faults", "{}");
        assertThat(caller.get(platformAddress, "/v1/instances")).contains("\"name\":\"llm-1\"");
    }

    @ParameterizedTest
    @CsvSource({
        "PUT, /v1/objects/a, 428",
        "DELETE, /v1/objects/a, 428",
        "GET, /v1/objects/A, 400",
        "GET, /v1/objects/a//b, 400",
        "GET, /v1/objects/a, 404",
        "GET, /v1/list?limit=0, 400",
        "GET, /v1/nothing, 404"
    })
    void malformedCallsAreRefused(String method, String path, int status) throws Exception {
        assertThat(caller.send(platformAddress, method, path, "").getStatus()).isEqualTo(status);
    }

    @Test
    void callsAreCountedByInstance() throws Exception {
        Request read = caller.request(platformAddress, "GET", OBJECT, "");
        read.headers(h -> h.put("X-Instance-Id", "entry-1")).send();
        assertThat(caller.get(platformAddress, "/control/counts"))
                .contains("\"entry-1\":{\"reads\":1,\"writes\":0,\"bytes\":0}");
    }

    private String created(String body) throws Exception {
        return create(OBJECT, body);
    }

    private String create(String path, String body) throws Exception {
        Request request = caller.request(platformAddress, "PUT", path, body);
        ContentResponse response =
                request.headers(h -> h.put(HttpHeader.IF_NONE_MATCH, "*")).send();
        assertThat(response.getStatus()).isEqualTo(201);
        return eTag(response);
    }

    private Request put(String version, String body) {
        Request request = caller.request(platformAddress, "PUT", OBJECT, body);
        return request.headers(h -> h.put(HttpHeader.IF_MATCH, version));
    }

    private Request watch(String version, long timeoutMillis) {
        String query = "?newerThan=" + number(version) + "&timeoutMillis=" + timeoutMillis;
        return caller.request(platformAddress, "GET", OBJECT + query, "");
    }

    private static String eTag(ContentResponse response) {
        return response.getHeaders().get(HttpHeader.ETAG);
    }

    private static long number(String eTag) {
        return Long.parseLong(eTag.replace("\"", ""));
    }
}
