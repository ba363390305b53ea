package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.harness.Waiting;
import dev.foxtailshed.integration.OrderSite.CallResult;
import dev.foxtailshed.integration.OrderSite.ServiceDelay;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that orders with an Idempotency-Key run at most once when they are resent, concurrently or
 * later, to another entry. Each resend has a call id of its own, so that the services count its
 * runs separately.
 */
class AtMostOnceIT {

    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long LIMIT_MILLIS = 15_000;
    private static final long IN_FLIGHT_MILLIS = 300;
    private static final int CONCURRENT_KEYS = 60;
    private static final ServiceDelay DELAY_AFTER_RUN = new ServiceDelay("after", 1_000);
    private static final ServiceDelay DELAY_BEFORE_RUN = new ServiceDelay("before", 1_000);

    private static OrderSite orders;
    private static int secondEntry = 1;
    private static int keys;
    private final List<String> callIds = new ArrayList<>();

    /** A fault that occurs while an order is in flight. */
    private record Fault(String name, ServiceDelay delay, Runnable begin, Runnable end) {

        @Override
        public String toString() {
            return name + ", run counted " + delay.at() + " the delay";
        }
    }

    @BeforeAll
    static void start() throws IOException {
        orders = new OrderSite(TIMEOUT_MILLIS);
    }

    @AfterAll
    static void stop() {
        orders.close();
    }

    @AfterEach
    void clearFaults() {
        orders.site().setPlatformFaults("{}");
        orders.awaitServing(0, secondEntry);
    }

    @Test
    void concurrentResendsToBothEntriesRunOnce() {
        List<CompletableFuture<CallResult>> pending = new ArrayList<>();
        List<String> concurrentKeys = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_KEYS; i++) {
            String key = newKey();
            concurrentKeys.add(key);
            for (int copy = 0; copy < 4; copy++) {
                pending.add(send(copy % 2 == 0 ? 0 : secondEntry, key, ServiceDelay.NONE));
            }
        }
        List<CallResult> results = pending.stream().map(CompletableFuture::join).toList();
        assertThat(results).extracting(CallResult::status).containsOnly(200, 409);
        assertThat(results)
                .filteredOn(t -> t.status() == 409)
                .extracting(CallResult::verdict)
                .containsOnly("may-have-run");
        for (String key : concurrentKeys) {
            List<CallResult> resultsOfKey = results.stream().filter(t -> hasKey(key, t)).toList();
            assertThat(countRuns(key)).as("runs of %s, results %s", key, resultsOfKey).isEqualTo(1);
            List<String> bodies =
                    resultsOfKey.stream()
                            .filter(t -> t.status() == 200)
                            .map(t -> t.response().orElseThrow().body())
                            .distinct()
                            .toList();
            assertThat(bodies).as("responses to %s", key).hasSize(1);
            awaitSuccess(key);
            assertThat(send(0, key, ServiceDelay.NONE).join().response().orElseThrow().body())
                    .isEqualTo(bodies.get(0));
        }
    }

    @Test
    void differentBodyWithSameKeyIsRefusedAndNotRun() {
        String key = newKey();
        assertThat(send(0, key, ServiceDelay.NONE).join().status()).isEqualTo(200);
        CallResult other =
                send(secondEntry, key, ServiceDelay.NONE, OrderSite.PATH, "{\"order\":2}").join();
        assertThat(other.status()).isEqualTo(422);
        assertThat(other.errorCode()).isEqualTo("idempotency_key_reused");
        assertThat(other.verdict()).isEqualTo("not-run");
        assertThat(orders.site().countRuns(other.callId())).isZero();
    }

    @Test
    void orderWithResponseTooLargeToStoreIsNotRunAgain() {
        String key = newKey();
        String path = OrderSite.PATH + "/large/100000";
        CallResult first = send(0, key, ServiceDelay.NONE, path, "{}").join();
        assertThat(first.response().orElseThrow().body()).hasSize(100_000);
        CallResult resend = send(secondEntry, key, ServiceDelay.NONE, path, "{}").join();
        assertThat(resend.status()).isEqualTo(409);
        assertThat(resend.verdict()).isEqualTo("ran");
        assertThat(countRuns(key)).isEqualTo(1);
    }

    @Test
    void onlyOrderWithoutKeyRunsWhileStoreIsUnavailable() {
        orders.site().setPlatformFaults("{\"outage\":true}");
        String key = newKey();
        CallResult refused = send(0, key, ServiceDelay.NONE).join();
        assertThat(refused.errorCode()).isEqualTo("store_unavailable");
        assertThat(refused.verdict()).isEqualTo("not-run");
        assertThat(
                        orders.sendOrder(0, "unkeyed", Optional.empty(), ServiceDelay.NONE)
                                .join()
                                .status())
                .isEqualTo(200);
        orders.site().setPlatformFaults("{}");
        awaitSuccess(key);
        assertThat(countRuns(key)).isEqualTo(1);
        assertThat(orders.site().countRuns(refused.callId())).isZero();
    }

    @Test
    void orderRunsOnceIfStoreResponsesToItsClaimAreLost() {
        orders.site().setPlatformFaults("{\"loseAnswers\":8}");
        String key = newKey();
        CompletableFuture<CallResult> first = send(0, key, ServiceDelay.NONE);
        CompletableFuture<CallResult> second = send(secondEntry, key, ServiceDelay.NONE);
        assertThat(List.of(first.join().status(), second.join().status())).contains(200);
        awaitSuccess(key);
        assertThat(countRuns(key)).isEqualTo(1);
    }

    @Test
    void responseIsReturnedIfItCannotBeRecordedAndIsReplayedLater() {
        String key = newKey();
        CompletableFuture<CallResult> first = send(0, key, DELAY_AFTER_RUN);
        awaitRun(key);
        orders.site().setPlatformFaults("{\"outage\":true}");
        assertThat(first.join().status()).isEqualTo(200);
        CallResult resend = send(secondEntry, key, DELAY_AFTER_RUN).join();
        assertThat(resend.status()).isIn(409, 503);
        orders.site().setPlatformFaults("{}");
        awaitSuccess(key);
        assertThat(countRuns(key)).isEqualTo(1);
    }

    @Test
    void orderOfDisconnectedCallerIsFinishedAndRecorded() throws IOException {
        String key = newKey();
        String callId = newCallId(key);
        try (SocketCaller caller = new SocketCaller(orders.site().entry(0).address())) {
            String headers =
                    "Idempotency-Key: "
                            + key
                            + "\r\nX-Call-Id: "
                            + callId
                            + "\r\nX-Stand-In-Delay-Millis: 1000\r\n"
                            + "X-Stand-In-Delay-At: before\r\n";
            caller.post(OrderSite.PATH, headers, "{\"order\":1}");
            orders.runAfter(IN_FLIGHT_MILLIS, () -> {}).join();
            caller.disconnect();
        }
        awaitSuccess(key);
        assertThat(countRuns(key)).isEqualTo(1);
        assertThat(orders.site().countRuns(callId)).isEqualTo(1);
    }

    static Stream<Fault> faults() {
        return Stream.of(DELAY_AFTER_RUN, DELAY_BEFORE_RUN)
                .flatMap(
                        delay ->
                                Stream.of(
                                        new Fault(
                                                "entry killed",
                                                delay,
                                                () -> orders.site().entry(secondEntry).kill(),
                                                () -> secondEntry = orders.site().addEntry()),
                                        new Fault(
                                                "connections reset",
                                                delay,
                                                () ->
                                                        OrderSite.SERVERS.forEach(
                                                                AtMostOnceIT::resetConnections),
                                                () -> {}),
                                        new Fault(
                                                "sidecars killed",
                                                delay,
                                                () ->
                                                        OrderSite.SERVERS.forEach(
                                                                AtMostOnceIT::killSidecar),
                                                () ->
                                                        OrderSite.SERVERS.forEach(
                                                                orders.site()::restartSidecar)),
                                        new Fault(
                                                "service killed",
                                                delay,
                                                () -> orders.site().backend("s1").kill(),
                                                AtMostOnceIT::restartService)));
    }

    /**
     * Resends an order that is in flight at the second entry: to the first entry during and after
     * the fault, and to the second after it.
     */
    @ParameterizedTest
    @MethodSource("faults")
    void resendAfterFaultDoesNotRunAgain(Fault fault) {
        String key = newKey();
        CompletableFuture<CallResult> first = send(secondEntry, key, fault.delay());
        orders.runAfter(IN_FLIGHT_MILLIS, fault.begin()).join();
        CompletableFuture<CallResult> duringFault = send(0, key, ServiceDelay.NONE);
        fault.end().run();
        orders.awaitServing(0, secondEntry);
        List<CallResult> results = new ArrayList<>(List.of(first.join(), duringFault.join()));
        results.add(send(0, key, ServiceDelay.NONE).join());
        results.add(send(secondEntry, key, ServiceDelay.NONE).join());
        assertThat(countRuns(key))
                .as("runs of %s, results %s", key, results)
                .isLessThanOrEqualTo(1);
        boolean answered = results.stream().anyMatch(t -> t.status() == 200);
        if (answered && !fault.name().startsWith("service")) {
            assertThat(countRuns(key)).as("runs of %s, results %s", key, results).isEqualTo(1);
        }
        assertThat(results.subList(1, results.size()))
                .as("resends of %s", key)
                .allMatch(t -> t.status() == 200 || t.verdict().equals("may-have-run"));
    }

    private static void resetConnections(String server) {
        orders.site().resetConnections(server);
    }

    private static void killSidecar(String server) {
        orders.site().sidecar(server).kill();
    }

    private static void restartService() {
        orders.site().restartBackend("s1");
        killSidecar("s1");
        orders.site().restartSidecar("s1");
    }

    private void awaitSuccess(String key) {
        Waiting.await(
                "the order gets a response with status 200",
                LIMIT_MILLIS,
                () -> send(secondEntry, key, ServiceDelay.NONE).join().status() == 200);
    }

    private void awaitRun(String key) {
        Waiting.await("the order ran", LIMIT_MILLIS, () -> countRuns(key) == 1);
    }

    private CompletableFuture<CallResult> send(int entry, String key, ServiceDelay delay) {
        return send(entry, key, delay, OrderSite.PATH, "{\"order\":1}");
    }

    private CompletableFuture<CallResult> send(
            int entry, String key, ServiceDelay delay, String path, String body) {
        return orders.sendOrder(entry, newCallId(key), Optional.of(key), delay, path, body);
    }

    private static String newKey() {
        return "key-" + keys++ + ":";
    }

    private String newCallId(String key) {
        String callId = key + callIds.size();
        callIds.add(callId);
        return callId;
    }

    private static boolean hasKey(String key, CallResult result) {
        return result.callId().startsWith(key);
    }

    private long countRuns(String key) {
        return callIds.stream()
                .filter(id -> id.startsWith(key))
                .mapToLong(id -> orders.site().countRuns(id))
                .sum();
    }
}
