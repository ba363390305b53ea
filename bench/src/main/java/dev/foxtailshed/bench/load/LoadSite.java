package dev.foxtailshed.bench.load;

import dev.foxtailshed.harness.Installation;
import java.io.IOException;
import java.io.InputStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;

/**
 * An installation with scaled-down engines and one router, together with the load generator.
 *
 * <p>Runs one point at a time. Not thread-safe.
 */
final class LoadSite implements AutoCloseable {

    private static final int ENTRIES = 2;
    private static final int MAXIMUM_CONNECTIONS = 4_000;
    private static final long COMPLETION_TIMEOUT_SECONDS = 90;
    private static final long WARM_UP_SEED = 1;
    private static final int WARM_UP_PERCENT = 60;
    private static final int PREFIX_CACHE_PIECES = 300;

    private final String router;
    private final Installation site;
    private final HttpClient client = new HttpClient();
    private int pointCount;

    private LoadSite(String router) throws IOException {
        this.router = router;
        this.site =
                Installation.builder()
                        .manifest(manifest().replace("ROUTER", router))
                        .entries(ENTRIES)
                        .withoutProxies()
                        .engineArguments(engineArguments())
                        .start();
    }

    /** Starts an installation and runs a short warm-up load. */
    static LoadSite start(String router, RequestMix mix) throws IOException, InterruptedException {
        LoadSite loadSite = new LoadSite(router);
        try {
            loadSite.client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS);
            loadSite.client.setMaxRequestsQueuedPerDestination(MAXIMUM_CONNECTIONS);
            loadSite.client.start();
            PointKey warmUp = new PointKey(router, LoadFault.NONE, WARM_UP_PERCENT, WARM_UP_SEED);
            loadSite.run(warmUp, mix, new ArrivalPlan.Phases(0, 3_000, 0));
            return loadSite;
        } catch (IOException | InterruptedException | RuntimeException e) {
            loadSite.close();
            throw e;
        } catch (Exception e) {
            // HttpClient.start() declares Exception.
            loadSite.close();
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Runs one point until all its requests have an outcome, and repairs its fault. */
    PointResult run(PointKey key, RequestMix mix, ArrivalPlan.Phases phases)
            throws IOException, InterruptedException {
        double perSecond = Capacity.of(mix).modelRequestsPerSecond() * key.loadPercent() / 100.0;
        List<PlannedRequest> plan = ArrivalPlan.generate(mix, phases, perSecond, key.seed());
        PrefillCounts before = PrefillCounts.read(site, ENTRIES);
        Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
        CountDownLatch done = new CountDownLatch(plan.size());
        long faultMillis = phases.warmUpMillis() + phases.windowMillis() / 3;
        Thread fault = startFaultThread(key.fault(), faultMillis);
        double maximumSendDelayMillis =
                send(
                        plan,
                        outcome -> {
                            outcomes.add(outcome);
                            done.countDown();
                        });
        if (!done.await(COMPLETION_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException(done.getCount() + " requests have no outcome");
        }
        fault.join();
        PrefillCounts prefill = PrefillCounts.read(site, ENTRIES).since(before);
        key.fault().repair(site);
        return new PointResult(
                key,
                phases.windowMillis(),
                List.copyOf(outcomes),
                prefill,
                outcomes.stream().mapToLong(Outcome::uncachedPromptTokens).sum(),
                maximumSendDelayMillis,
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            // HttpClient.stop() declares Exception; the process exits in any case.
            System.err.println("the HTTP client did not stop: " + e.getMessage());
        }
        site.close();
    }

    private double send(List<PlannedRequest> plan, Consumer<Outcome> done) {
        String callPrefix = router + "-" + pointCount++ + "-";
        long startNanos = System.nanoTime();
        long maximumDelayNanos = 0;
        for (PlannedRequest request : plan) {
            long dueNanos = startNanos + TimeUnit.MICROSECONDS.toNanos(request.dueMicros());
            long waitNanos = dueNanos - System.nanoTime();
            while (waitNanos > 0) {
                LockSupport.parkNanos(waitNanos);
                waitNanos = dueNanos - System.nanoTime();
            }
            maximumDelayNanos = Math.max(maximumDelayNanos, -waitNanos);
            new LoadCaller(request, dueNanos, done)
                    .send(client, site.entry(request.number() % ENTRIES).address(), callPrefix);
        }
        return maximumDelayNanos / 1e6;
    }

    private Thread startFaultThread(LoadFault fault, long afterMillis) {
        Thread thread =
                new Thread(
                        () -> {
                            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(afterMillis));
                            try {
                                fault.inject(site);
                            } catch (IOException e) {
                                System.err.println(
                                        "the fault could not be injected: " + e.getMessage());
                            }
                        },
                        "fault");
        thread.start();
        return thread;
    }

    private static String[] engineArguments() {
        return new String[] {
            "--token-millis", Integer.toString(Capacity.TOKEN_MILLIS),
            "--prefill-tokens-per-second", Integer.toString(Capacity.PREFILL_TOKENS_PER_SECOND),
            "--link-bytes-per-second", Integer.toString(Capacity.LINK_BYTES_PER_SECOND),
            "--prefix-cache-pieces", Integer.toString(PREFIX_CACHE_PIECES)
        };
    }

    private static String manifest() throws IOException {
        try (InputStream stream = LoadSite.class.getResourceAsStream("load.json")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
