package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.integration.OrderSite.CallResult;
import dev.foxtailshed.integration.OrderSite.ServiceDelay;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the verdicts on calls that are not idempotent with the run counts of the services: a
 * call reported as not-run has not run and never does, no call runs twice, and a call with status
 * 200 ran once.
 */
class VerdictIT {

    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long LONGER_THAN_LEASE_MILLIS = OrderSite.LEASE_MILLIS + 300;
    private static final long IN_FLIGHT_MILLIS = 250;

    /** Long enough for the sidecar to report that its service crashed, before both are replaced. */
    private static final long REPORT_MILLIS = 800;

    private static final int OK = 200;
    private static final String COMMITS_HELD = "commits held";

    /** Delays with which calls are about to run, are running or have run when a fault occurs. */
    private static final List<ServiceDelay> DELAYS =
            List.of(
                    ServiceDelay.NONE,
                    new ServiceDelay("before", 150),
                    new ServiceDelay("after", 150),
                    new ServiceDelay("before", 800),
                    new ServiceDelay("after", 800));

    private static final List<ServiceDelay> LONG_DELAYS =
            List.of(new ServiceDelay("before", 1_200), new ServiceDelay("after", 1_200));

    private static final List<CallResult> ALL_RESULTS = new ArrayList<>();
    private static final Map<String, Long> RUNS_OF_KILLED_SERVICES = new HashMap<>();
    private static OrderSite orders;
    private static int secondEntry = 1;
    private static int calls;

    /**
     * A fault to inject.
     *
     * @param startMillis when the fault begins after the calls were sent; 0 is before they are sent
     * @param durationMillis how long the fault lasts
     * @param delays the delays of the calls that the fault affects
     */
    private record Fault(
            String name,
            long startMillis,
            long durationMillis,
            List<ServiceDelay> delays,
            Runnable begin,
            Runnable end) {

        @Override
        public String toString() {
            return name + " after " + startMillis + " ms";
        }
    }

    @BeforeAll
    static void start() throws IOException {
        orders = new OrderSite(TIMEOUT_MILLIS);
    }

    @AfterAll
    static void checkAllResultsAndStop() {
        try {
            ALL_RESULTS.forEach(VerdictIT::assertVerdictMatchesRuns);
            Map<String, Long> outcomes = new HashMap<>();
            ALL_RESULTS.forEach(t -> outcomes.merge(t.status() + t.verdict(), 1L, Long::sum));
            System.out.println("calls " + ALL_RESULTS.size() + ", outcomes " + outcomes);
            assertThat(outcomes.keySet()).contains("200", "504may-have-run", "504not-run");
        } finally {
            orders.close();
        }
    }

    static Stream<Fault> faults() {
        return Stream.concat(connectionFaults(), processFaults());
    }

    private static Stream<Fault> connectionFaults() {
        return Stream.of(
                connectionFault("freeze", "to-target", 0),
                connectionFault("freeze", "to-caller", 0),
                connectionFault("freeze", "to-caller", IN_FLIGHT_MILLIS),
                connectionFault("freeze", "both", IN_FLIGHT_MILLIS),
                connectionFault("half-open", "to-target", 0),
                connectionFault("half-open", "to-caller", IN_FLIGHT_MILLIS),
                connectionFault("cut", "both", 0),
                connectionFault("cut", "both", IN_FLIGHT_MILLIS),
                heldCommits(),
                faultInFlight("connections reset once", VerdictIT::resetAllConnections, () -> {}),
                new Fault(
                        "delay",
                        0,
                        LONGER_THAN_LEASE_MILLIS,
                        DELAYS,
                        () -> orders.setProxyFaults("{\"delayMillis\":400}"),
                        VerdictIT::clearProxyFaults),
                new Fault(
                        "platform unavailable",
                        0,
                        LONGER_THAN_LEASE_MILLIS,
                        DELAYS,
                        () -> orders.site().setPlatformFaults("{\"outage\":true}"),
                        () -> orders.site().setPlatformFaults("{}")));
    }

    private static Stream<Fault> processFaults() {
        return Stream.of(
                new Fault(
                        "sidecars frozen",
                        IN_FLIGHT_MILLIS,
                        LONGER_THAN_LEASE_MILLIS,
                        DELAYS,
                        () -> OrderSite.SERVERS.forEach(s -> orders.site().sidecar(s).freeze()),
                        () -> OrderSite.SERVERS.forEach(s -> orders.site().sidecar(s).resume())),
                new Fault(
                        "entry frozen",
                        IN_FLIGHT_MILLIS / 10,
                        LONGER_THAN_LEASE_MILLIS,
                        DELAYS,
                        () -> orders.site().entry(0).freeze(),
                        () -> orders.site().entry(0).resume()),
                faultInFlight(
                        "sidecar killed",
                        () -> orders.site().sidecar("s1").kill(),
                        () -> orders.site().restartSidecar("s1")),
                new Fault(
                        "service killed",
                        IN_FLIGHT_MILLIS,
                        REPORT_MILLIS,
                        LONG_DELAYS,
                        VerdictIT::killService,
                        VerdictIT::restartService),
                faultInFlight(
                        "entry killed",
                        () -> orders.site().entry(secondEntry).kill(),
                        () -> secondEntry = orders.site().addEntry()));
    }

    private static Fault faultInFlight(String name, Runnable begin, Runnable end) {
        return new Fault(name, IN_FLIGHT_MILLIS, 0, DELAYS, begin, end);
    }

    @ParameterizedTest
    @MethodSource("faults")
    void verdictMatchesRuns(Fault fault) {
        int first = ALL_RESULTS.size();
        if (fault.startMillis() == 0) {
            fault.begin().run();
        }
        List<CompletableFuture<CallResult>> pending = new ArrayList<>();
        for (ServiceDelay delay : fault.delays()) {
            pending.add(send(0, delay));
            pending.add(send(secondEntry, delay));
        }
        if (fault.startMillis() > 0) {
            orders.runAfter(fault.startMillis(), fault.begin()).join();
        }
        orders.runAfter(fault.durationMillis(), fault.end()).join();
        pending.forEach(call -> ALL_RESULTS.add(call.join()));
        orders.awaitServing(0, secondEntry);
        List<CallResult> results = ALL_RESULTS.subList(first, ALL_RESULTS.size());
        results.forEach(VerdictIT::assertVerdictMatchesRuns);
        if (fault.name().equals(COMMITS_HELD)) {
            results.forEach(
                    t -> assertThat(countRuns(t.callId())).as("late run of %s", t).isZero());
        }
    }

    private static CompletableFuture<CallResult> send(int entry, ServiceDelay delay) {
        int number = calls++;
        Optional<String> key = number % 4 < 2 ? Optional.empty() : Optional.of("key-" + number);
        return orders.sendOrder(entry, "call-" + number, key, delay);
    }

    private static void assertVerdictMatchesRuns(CallResult result) {
        long runs = countRuns(result.callId());
        assertThat(runs).as("runs of %s", result).isLessThanOrEqualTo(1);
        assertThat(result.status() >= 400 && result.verdict().isEmpty()).as("%s", result).isFalse();
        if (result.status() == OK || result.verdict().equals("ran")) {
            assertThat(runs).as("runs of %s", result).isEqualTo(1);
        } else if (result.verdict().equals("not-run")) {
            assertThat(runs).as("runs of %s", result).isZero();
        }
    }

    private static long countRuns(String callId) {
        return orders.site().countRuns(callId) + RUNS_OF_KILLED_SERVICES.getOrDefault(callId, 0L);
    }

    private static Fault connectionFault(String mode, String direction, long startMillis) {
        return new Fault(
                mode + " " + direction,
                startMillis,
                LONGER_THAN_LEASE_MILLIS,
                DELAYS,
                () -> orders.setProxyFaults(proxyFaults(mode, direction)),
                VerdictIT::clearProxyFaults);
    }

    /**
     * Holds back grants, then delivers them while commits are held back until all calls have timed
     * out.
     */
    private static Fault heldCommits() {
        return new Fault(
                COMMITS_HELD,
                0,
                TIMEOUT_MILLIS + IN_FLIGHT_MILLIS,
                DELAYS,
                () -> {
                    orders.setProxyFaults(proxyFaults("freeze", "to-caller"));
                    orders.runAfter(
                            IN_FLIGHT_MILLIS,
                            () -> orders.setProxyFaults(proxyFaults("freeze", "to-target")));
                },
                VerdictIT::clearProxyFaults);
    }

    private static String proxyFaults(String mode, String direction) {
        return String.format("{\"mode\":\"%s\",\"direction\":\"%s\"}", mode, direction);
    }

    private static void clearProxyFaults() {
        orders.setProxyFaults("{}");
    }

    private static void resetAllConnections() {
        OrderSite.SERVERS.forEach(server -> orders.site().resetConnections(server));
    }

    /**
     * Kills a service after reading its run counts, which are lost with it. All calls are waiting
     * at that time, so that the counts do not change in between.
     */
    private static void killService() {
        orders.site()
                .readBackendState("s1", "/control/runs")
                .getAsJsonObject("runs")
                .entrySet()
                .forEach(
                        e ->
                                RUNS_OF_KILLED_SERVICES.merge(
                                        e.getKey(), e.getValue().getAsLong(), Long::sum));
        orders.site().backend("s1").kill();
    }

    private static void restartService() {
        orders.site().restartBackend("s1");
        orders.site().sidecar("s1").kill();
        orders.site().restartSidecar("s1");
    }
}
