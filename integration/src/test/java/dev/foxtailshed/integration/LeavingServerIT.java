package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.harness.Completion;
import dev.foxtailshed.harness.HttpCaller.Response;
import dev.foxtailshed.harness.Installation;
import dev.foxtailshed.harness.Waiting;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a leaving backend server gets no new work and that no call fails meanwhile. */
class LeavingServerIT {

    private static final long NO_WORK_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long LIMIT_MILLIS = 20_000;

    private static Installation site;

    @BeforeAll
    static void start() throws IOException {
        site = Installation.builder().entries(2).engineArguments("--token-millis", "2").start();
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    /** How entries are informed: by SIGTERM of the sidecar or by the instance list. */
    enum Announcement {
        TERM,
        LIST
    }

    @ParameterizedTest(name = "{0} by {1} with {2}")
    @CsvSource(
            quoteCharacter = '\'',
            value = {
                "s1, TERM, '{}'",
                "s1, LIST, '{}'",
                "s1, LIST, '{\"instanceLagMillis\":1500}'",
                "s1, TERM, '{\"outage\":true}'",
                "d1, TERM, '{}'",
                "d1, LIST, '{}'"
            })
    void leavingServerGetsNoNewWork(String server, Announcement announcement, String faults) {
        site.setPlatformFaults(faults);
        try (Load load = new Load()) {
            load.awaitNewWork(server);
            announceLeaving(server, announcement);
            long lastWorkMillis = load.awaitNoNewWork(server);
            long workWhenQuiet = countWork(server);
            load.awaitResponses(100);
            assertThat(countWork(server)).isEqualTo(workWhenQuiet);
            System.out.printf(
                    "measured: last new work at %s by %s with %s after %d ms%n",
                    server, announcement, faults, lastWorkMillis);
            assertThat(load.failures()).isEmpty();
        } finally {
            site.setPlatformFaults("{}");
            restore(server, announcement);
        }
    }

    private static void announceLeaving(String server, Announcement announcement) {
        if (announcement == Announcement.TERM) {
            site.sidecar(server).terminate();
        } else {
            site.registerSidecar(server, "leaving");
        }
    }

    private static void restore(String server, Announcement announcement) {
        if (announcement == Announcement.TERM) {
            assertThat(site.sidecar(server).awaitExit()).isZero();
            site.restartSidecar(server);
        } else {
            site.registerSidecar(server, "live");
        }
        site.awaitServing(0);
        site.awaitServing(1);
    }

    private static long countWork(String server) {
        return server.startsWith("s")
                ? site.readBackendState(server, "/control/runs").get("total").getAsLong()
                : site.readBackendState(server, "/control/counts").get("decodes").getAsLong();
    }

    /** Load on both entries: four threads, each sending calls or completions one after another. */
    private static final class Load implements AutoCloseable {
        private final AtomicBoolean stopped = new AtomicBoolean();
        private final AtomicLong responseCount = new AtomicLong();
        private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
        private final List<Thread> threads = new ArrayList<>();

        Load() {
            for (int entry = 0; entry < 2; entry++) {
                int entryIndex = entry;
                start(
                        () ->
                                site.call(
                                        entryIndex,
                                        "POST",
                                        "/apps/orders/wire-orders",
                                        Map.of("X-Stand-In-Delay-Millis", "5"),
                                        "{}"));
                start(() -> site.complete(entryIndex, new Completion("drafts", "m1", "a bud", 3)));
            }
        }

        private void start(Call call) {
            Thread thread = new Thread(() -> run(call), "load");
            threads.add(thread);
            thread.start();
        }

        private void run(Call call) {
            while (!stopped.get()) {
                try {
                    Response response = call.execute();
                    if (response.status() != 200) {
                        failures.add(response.toString());
                    }
                    responseCount.incrementAndGet();
                } catch (IOException e) {
                    failures.add(e.toString());
                }
            }
        }

        void awaitNewWork(String server) {
            long before = countWork(server);
            Waiting.await("work at " + server, LIMIT_MILLIS, () -> countWork(server) > before + 5);
        }

        /**
         * Waits until the server has had no new work for 1.5 s.
         *
         * @return the time from the call of this method to the last new work, in milliseconds
         */
        long awaitNoNewWork(String server) {
            long startNanos = System.nanoTime();
            long[] lastWork = {countWork(server), startNanos};
            Waiting.await(
                    "no new work at " + server,
                    LIMIT_MILLIS,
                    () -> {
                        long now = countWork(server);
                        if (now != lastWork[0]) {
                            lastWork[0] = now;
                            lastWork[1] = System.nanoTime();
                        }
                        return System.nanoTime() - lastWork[1] > NO_WORK_NANOS;
                    });
            return TimeUnit.NANOSECONDS.toMillis(lastWork[1] - startNanos);
        }

        void awaitResponses(int count) {
            long before = responseCount.get();
            Waiting.await(
                    "more responses", LIMIT_MILLIS, () -> responseCount.get() > before + count);
        }

        List<String> failures() {
            return List.copyOf(failures);
        }

        @Override
        public void close() {
            stopped.set(true);
            threads.forEach(
                    thread ->
                            Waiting.await("the load ends", LIMIT_MILLIS, () -> !thread.isAlive()));
        }
    }

    /** A request that may fail with an {@link IOException}. */
    private interface Call {
        Response execute() throws IOException;
    }
}
