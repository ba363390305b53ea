package dev.foxtailshed.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link ServiceStandIn}. */
class ServiceStandInTest {

    private static final String HOUR_MILLIS = "3600000";

    @Test
    void runsAreCountedPerIdenticalCall() throws Exception {
        try (ServiceStandIn service = ServiceStandIn.builder().start();
                TestCaller caller = new TestCaller()) {
            assertThat(call(caller, service, "a").send().getContentAsString())
                    .isEqualTo("{\"run\":1,\"method\":\"POST\",\"path\":\"/x\",\"body\":\"b\"}");
            assertThat(call(caller, service, "a").send().getContentAsString())
                    .startsWith("{\"run\":2,");
            assertThat(call(caller, service, "c").send().getContentAsString())
                    .startsWith("{\"run\":1,");
            assertThat(caller.send(service.address(), "GET", "/large/70000", "").getContent())
                    .hasSize(70_000);
            assertThat(caller.get(service.address(), "/control/runs"))
                    .isEqualTo("{\"runs\":{\"/large/70000\":1,\"a\":2,\"c\":1},\"total\":4}");
        }
    }

    @ParameterizedTest
    @CsvSource({"before, 0", "after, 1"})
    void delayIsBeforeOrAfterTheRunIsCounted(String delayAt, int runs) throws Exception {
        try (ServiceStandIn service = ServiceStandIn.builder().start();
                TestCaller caller = new TestCaller()) {
            Request delayed =
                    call(caller, service, "slow")
                            .headers(h -> h.put("X-Stand-In-Delay-Millis", HOUR_MILLIS))
                            .headers(h -> h.put("X-Stand-In-Delay-At", delayAt));
            CompletableFuture<ContentResponse> response = caller.sendAsync(delayed);
            call(caller, service, "quick").send();

            String expected = "\"total\":" + (runs + 1) + "}";
            await().until(() -> caller.get(service.address(), "/control/runs").endsWith(expected));
            assertThat(response).isNotDone();
        }
    }

    @Test
    void crashPathCountsTheRunBeforeTheCrash() throws Exception {
        AtomicInteger crashes = new AtomicInteger();
        try (ServiceStandIn service =
                        ServiceStandIn.builder().crash(crashes::incrementAndGet).start();
                TestCaller caller = new TestCaller()) {
            caller.send(service.address(), "POST", "/crash", "");
            assertThat(crashes).hasValue(1);
            assertThat(caller.get(service.address(), "/control/runs")).contains("\"total\":1");
        }
    }

    private static Request call(TestCaller caller, ServiceStandIn service, String callId) {
        return caller.request(service.address(), "POST", "/x", "b")
                .headers(h -> h.put("X-Call-Id", callId));
    }
}
