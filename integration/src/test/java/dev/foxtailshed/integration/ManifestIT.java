package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.foxtailshed.harness.Completion;
import dev.foxtailshed.harness.HttpCaller.Response;
import dev.foxtailshed.harness.Installation;
import dev.foxtailshed.harness.Waiting;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that an accepted manifest is in force on all entries and sidecars and is never replaced by
 * an older one, with and without faults of the platform.
 */
class ManifestIT {

    private static final long LIMIT_MILLIS = 10_000;
    private static final String NO_FAULTS = "{}";
    private static final String OUTAGE = "{\"outage\":true}";

    private static Installation site;
    private static int changes;

    @BeforeAll
    static void start() throws IOException {
        site = Installation.builder().entries(2).engineArguments("--token-millis", "2").start();
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    @AfterEach
    void endFaults() {
        site.setPlatformFaults(NO_FAULTS);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneOfTwoConcurrentSubmissionsWinsAndTheOtherGetsTheWinningVersion(
            boolean withExpectedVersion) throws IOException {
        long before = newestVersion(0);
        String query = withExpectedVersion ? "expectVersion=" + before : "";
        site.setPlatformFaults("{\"delayMillis\":400}");

        String firstDocument = changedManifest();
        String secondDocument = changedManifest();
        CompletableFuture<Response> first = submitAsync(0, query, firstDocument);
        CompletableFuture<Response> second = submitAsync(1, query, secondDocument);

        List<Response> responses = List.of(first.join(), second.join());
        assertThat(responses).extracting(Response::status).containsExactlyInAnyOrder(200, 409);
        assertThat(responses)
                .allSatisfy(
                        a -> assertThat(a.json().get("version").getAsLong()).isEqualTo(before + 1));
        site.setPlatformFaults(NO_FAULTS);
        String winningDocument = responses.get(0).status() == 200 ? firstDocument : secondDocument;
        awaitEverywhere(before + 1);
        for (int entry = 0; entry < 2; entry++) {
            assertThat(site.getAsOperator(entry, "manifest").body()).isEqualTo(winningDocument);
        }
    }

    @ParameterizedTest
    @CsvSource({"1, false", "2, false", "3, false", "3, true", "0, true"})
    void acceptedSubmissionIsReportedDespiteLostResponsesAndStaleReads(int lost, boolean stale)
            throws IOException {
        long before = newestVersion(0);
        String document = changedManifest();
        String id = "lost-" + lost + "-" + stale;
        site.setPlatformFaults("{\"loseAnswers\":" + lost + ",\"staleReads\":" + stale + "}");

        Response accepted = site.submit(0, "submissionId=" + id, document);
        Response resent = site.submit(1, "submissionId=" + id, document);

        for (Response response : List.of(accepted, resent)) {
            assertThat(response.status()).as(response.body()).isEqualTo(200);
            assertThat(response.json().get("version").getAsLong()).isEqualTo(before + 1);
            assertThat(response.json().get("submissionId").getAsString()).isEqualTo(id);
        }
        awaitEverywhere(before + 1);
        assertThat(site.getAsOperator(1, "manifest").body()).isEqualTo(document);
        site.setPlatformFaults(NO_FAULTS);
        JsonObject history = site.getAsOperator(0, "history?limit=1000").json();
        assertThat(history.getAsJsonArray("entries").size()).isEqualTo(before + 1);
    }

    @Test
    void submissionResentAfterNewerOneKeepsItsVersion() throws IOException {
        long before = newestVersion(0);
        String document = changedManifest();
        site.submit(0, "submissionId=older&expectVersion=" + before, document);
        site.submit(1, "submissionId=newer", changedManifest());

        Response resent = site.submit(1, "submissionId=older&expectVersion=" + before, document);

        assertThat(resent.json().get("version").getAsLong()).isEqualTo(before + 1);
        awaitEverywhere(before + 2);
    }

    @Test
    void entryFrozenDuringChangeGetsItFromSidecarsWhileStoreIsUnavailable() throws IOException {
        long before = newestVersion(0);
        String document =
                changedManifest()
                        .replace(
                                "{\"name\": \"orders\", \"kind\": \"plain\", \"requestSlots\"",
                                "{\"name\": \"spare\", \"kind\": \"plain\", \"requestSlots\": 32},"
                                        + "{\"name\": \"orders\", \"kind\": \"plain\","
                                        + " \"requestSlots\"")
                        .replace(
                                "{\"name\": \"s1\", \"pool\": \"orders\"",
                                "{\"name\": \"s1\", \"pool\": \"spare\"");
        long runsBefore = totalRuns("s1");
        site.entry(1).freeze();
        List<CompletableFuture<Response>> calls = new ArrayList<>();
        try {
            assertThat(site.submit(0, "", document).status()).isEqualTo(200);
            awaitSidecars(before + 1);
            site.setPlatformFaults(OUTAGE);
            for (int i = 0; i < 40; i++) {
                String path = i % 2 == 0 ? "/apps/orders/stock/" + i : "/apps/orders/wire-orders";
                String method = i % 2 == 0 ? "GET" : "POST";
                calls.add(callAsync(() -> site.call(1, method, path, Map.of(), "")));
            }
        } finally {
            site.entry(1).resume();
        }
        long resumedNanos = System.nanoTime();
        awaitEntry(1, before + 1);
        System.out.printf(
                "measured: in force at a frozen entry, store unavailable, %d ms after resume%n",
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - resumedNanos));

        for (CompletableFuture<Response> call : calls) {
            assertThat(call.join().status()).as(call.join().body()).isEqualTo(200);
        }
        awaitEntry(1, before + 1);
        assertThat(totalRuns("s1")).isEqualTo(runsBefore);
    }

    @Test
    void entryStartedWhileStoreIsUnavailableServesManifestFromSidecar() throws IOException {
        long before = newestVersion(0);
        assertThat(site.submit(0, "", changedManifest()).status()).isEqualTo(200);
        awaitEverywhere(before + 1);
        site.setPlatformFaults(OUTAGE);

        int entry = site.addEntry("--seeds", seedAddress());

        site.awaitServing(entry);
        assertThat(newestVersion(entry)).isEqualTo(before + 1);
        Completion completion = new Completion("summaries", "m1", "seeded entry", 5);
        Response response = site.complete(entry, completion);
        assertThat(response.body()).contains(completion.expectedText());
        assertThat(site.getAsOperator(entry, "manifest").status()).isEqualTo(200);
    }

    @Test
    void changeTakesThreeWritesAndSidecarsDoNotCallThePlatform() throws IOException {
        long before = newestVersion(0);
        JsonObject start = platformCalls();
        long startNanos = System.nanoTime();
        Waiting.await(
                "the steady state lasts",
                LIMIT_MILLIS,
                () -> System.nanoTime() - startNanos > TimeUnit.SECONDS.toNanos(4));
        JsonObject steady = platformCalls();
        assertThat(site.submit(0, "", changedManifest()).status()).isEqualTo(200);
        long acceptedNanos = System.nanoTime();
        awaitEverywhere(before + 1);
        long inForceMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acceptedNanos);
        JsonObject after = platformCalls();

        for (String server : List.of("p1", "d1", "d2", "s1", "s2")) {
            assertThat(countCalls(after, server, "reads"))
                    .isEqualTo(countCalls(start, server, "reads"));
            assertThat(countCalls(after, server, "writes"))
                    .isEqualTo(countCalls(start, server, "writes"));
        }
        assertThat(countCalls(after, "entry-0", "writes") - countCalls(steady, "entry-0", "writes"))
                .isEqualTo(3);
        assertThat(countCalls(after, "entry-1", "writes"))
                .isEqualTo(countCalls(steady, "entry-1", "writes"));
        System.out.printf(
                "measured: in force everywhere %d ms after acceptance; reads in 4 s of steady state"
                        + " %d and %d, around the change %d and %d%n",
                inForceMillis,
                countCalls(steady, "entry-0", "reads") - countCalls(start, "entry-0", "reads"),
                countCalls(steady, "entry-1", "reads") - countCalls(start, "entry-1", "reads"),
                countCalls(after, "entry-0", "reads") - countCalls(steady, "entry-0", "reads"),
                countCalls(after, "entry-1", "reads") - countCalls(steady, "entry-1", "reads"));
    }

    private static JsonObject platformCalls() throws IOException {
        return site.http()
                .call("GET", site.platform(), "/control/counts", Map.of(), "")
                .json()
                .getAsJsonObject("byInstance");
    }

    private static long countCalls(JsonObject counts, String instance, String counter) {
        return counts.has(instance) ? counts.getAsJsonObject(instance).get(counter).getAsLong() : 0;
    }

    private static String seedAddress() {
        return "127.0.0.1:" + site.sidecar("d2").address().getPort();
    }

    private static String changedManifest() {
        changes++;
        return site.manifest().replace("\"queueLimit\": 500", "\"queueLimit\": " + (500 + changes));
    }

    private static long newestVersion(int entry) throws IOException {
        return site.getAsOperator(entry, "status").json().get("manifestVersion").getAsLong();
    }

    private static long totalRuns(String server) {
        return site.readBackendState(server, "/control/runs").get("total").getAsLong();
    }

    private static void awaitEverywhere(long version) {
        awaitEntry(0, version);
        awaitEntry(1, version);
        awaitSidecars(version);
    }

    private static void awaitEntry(int entry, long version) {
        Waiting.await(
                "version " + version + " is in force at entry " + entry,
                LIMIT_MILLIS,
                () -> {
                    try {
                        return newestVersion(entry) == version;
                    } catch (IOException e) {
                        return false;
                    }
                });
    }

    private static void awaitSidecars(long version) {
        Waiting.await(
                "version " + version + " is in force at every sidecar",
                LIMIT_MILLIS,
                () -> {
                    try {
                        JsonObject status = site.getAsOperator(0, "status").json();
                        for (JsonElement row : status.getAsJsonArray("servers")) {
                            long at = row.getAsJsonObject().get("manifestVersion").getAsLong();
                            if (at != version) {
                                return false;
                            }
                        }
                        return true;
                    } catch (IOException e) {
                        return false;
                    }
                });
    }

    private static CompletableFuture<Response> submitAsync(
            int entry, String query, String document) {
        return callAsync(() -> site.submit(entry, query, document));
    }

    private static CompletableFuture<Response> callAsync(Call call) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return call.execute();
                    } catch (IOException e) {
                        throw new CompletionException(e);
                    }
                },
                command -> new Thread(command, "call").start());
    }

    /** A request that may fail with an {@link IOException}. */
    private interface Call {
        Response execute() throws IOException;
    }
}
