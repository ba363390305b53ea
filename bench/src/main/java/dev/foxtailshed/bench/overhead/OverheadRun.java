package dev.foxtailshed.bench.overhead;

import dev.foxtailshed.bench.measure.HeapGauge;
import dev.foxtailshed.bench.measure.ProcessGauge;
import dev.foxtailshed.harness.Installation;
import dev.foxtailshed.harness.JavaProcess;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.component.LifeCycle;

/** One run of the experiment against a running installation. Not thread-safe. */
final class OverheadRun implements AutoCloseable {

    private static final String LOOKUP = "/stock?item=box-frame-40";
    private static final String DEPLOYMENT = "/apps/orders";
    private static final int MAXIMUM_CONNECTIONS = 256;
    private static final int WARM_UP_CALLS = 2_000;
    private static final long WARM_UP_PHASE_MILLIS = 1_000;
    private static final int MAXIMUM_WARM_UP_PHASES = 40;
    private static final int LATENCY_CALLS = 4_000;
    private static final long IDLE_MILLIS = 5_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Installation site;
    private final JavaProcess directPrefill;
    private final JavaProcess directDecode;
    private final OverheadSettings settings;
    private final HttpClient client = new HttpClient();
    private final ExecutorService readers;
    private final OverheadReport report = new OverheadReport();
    private final JavaProcess entry;
    private final JavaProcess service;
    private final JavaProcess serviceSidecar;
    private final List<JavaProcess> modelSidecars;
    private int promptCount;

    OverheadRun(
            Installation site,
            JavaProcess directPrefill,
            JavaProcess directDecode,
            OverheadSettings settings) {
        this.site = site;
        this.directPrefill = directPrefill;
        this.directDecode = directDecode;
        this.settings = settings;
        this.entry = site.entry(0);
        this.service = site.backend("s1");
        this.serviceSidecar = site.sidecar("s1");
        this.modelSidecars = List.of(site.sidecar("p1"), site.sidecar("d1"));
        readers = Executors.newFixedThreadPool(settings.streams());
        client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS);
        LifeCycle.start(client);
    }

    List<String> measure() throws IOException, InterruptedException, ExecutionException {
        report.addNote("load average before: " + ProcessGauge.loadAverage());
        measureIdle();
        warmUp();
        for (int round = 0; round < settings.rounds(); round++) {
            measureLookupLatencies();
            measureLookupThroughput();
            measureStreams();
        }
        measureMemoryAfterLoad();
        report.addNote("load average after: " + ProcessGauge.loadAverage());
        return report.lines();
    }

    @Override
    public void close() {
        readers.shutdownNow();
        LifeCycle.stop(client);
    }

    private void measureIdle() throws InterruptedException {
        addResidentMemory("idle");
        long beforeNanos = cpuNanos(List.of(entry));
        long sidecarBeforeNanos = cpuNanos(List.of(serviceSidecar));
        TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
        double seconds = IDLE_MILLIS / 1e3;
        report.add(
                "entry idle, % of a core (soon after its start)",
                (cpuNanos(List.of(entry)) - beforeNanos) / NANOS_PER_SECOND / seconds * 100);
        report.add(
                "sidecar idle, % of a core (soon after its start)",
                (cpuNanos(List.of(serviceSidecar)) - sidecarBeforeNanos)
                        / NANOS_PER_SECOND
                        / seconds
                        * 100);
    }

    private void warmUp() throws InterruptedException, ExecutionException {
        LookupMeasurement measurement = new LookupMeasurement(client);
        measurement.measureLatencies(directUri(), WARM_UP_CALLS);
        measurement.measureLatencies(throughEntryUri(), WARM_UP_CALLS);
        warmUp(measurement, directUri());
        warmUp(measurement, throughEntryUri());
        StreamMeasurement streams = newStreamMeasurement();
        readConcurrently(streams, streams.throughEntry(entry.address(), "summaries"));
        readConcurrently(streams, directSource(streams));
    }

    /**
     * Sends the configured number of warm-up calls. It is the same for direct calls and for calls
     * through the entry, so that the JIT compiler has done as much for each.
     */
    private void warmUp(LookupMeasurement measurement, URI lookup)
            throws InterruptedException, ExecutionException {
        long calls = 0;
        for (int i = 0; i < MAXIMUM_WARM_UP_PHASES && calls < settings.warmUpCalls(); i++) {
            calls +=
                    measurement.countConcurrentCalls(
                            lookup, settings.callers(), WARM_UP_PHASE_MILLIS);
        }
        report.addNote("warm-up calls to " + lookup.getPath() + ": " + calls);
    }

    private void measureLookupLatencies() throws InterruptedException, ExecutionException {
        LookupMeasurement measurement = new LookupMeasurement(client);
        Histogram direct = measurement.measureLatencies(directUri(), LATENCY_CALLS);
        Histogram through = measurement.measureLatencies(throughEntryUri(), LATENCY_CALLS);
        for (double percentile : new double[] {50, 99}) {
            double directMillis = direct.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
            double throughMillis = through.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
            String which = percentile == 50 ? "median" : "99th percentile";
            report.add("lookup, one caller, direct, " + which + ", ms", directMillis);
            report.add("lookup, one caller, through, " + which + ", ms", throughMillis);
            report.add(
                    "lookup, one caller, added, " + which + ", ms", throughMillis - directMillis);
        }
    }

    private void measureLookupThroughput() throws InterruptedException, ExecutionException {
        LookupMeasurement measurement = new LookupMeasurement(client);
        long durationMillis = settings.seconds() * 1_000L;
        long serviceNanos = cpuNanos(List.of(service));
        long directCalls =
                measurement.countConcurrentCalls(directUri(), settings.callers(), durationMillis);
        serviceNanos = cpuNanos(List.of(service)) - serviceNanos;
        long entryNanos = cpuNanos(List.of(entry));
        long sidecarNanos = cpuNanos(List.of(serviceSidecar));
        long serviceThroughNanos = cpuNanos(List.of(service));
        long calls =
                measurement.countConcurrentCalls(
                        throughEntryUri(), settings.callers(), durationMillis);
        entryNanos = cpuNanos(List.of(entry)) - entryNanos;
        sidecarNanos = cpuNanos(List.of(serviceSidecar)) - sidecarNanos;
        serviceThroughNanos = cpuNanos(List.of(service)) - serviceThroughNanos;
        report.add("lookup, many callers, direct, calls/s", directCalls * 1e3 / durationMillis);
        report.add("lookup, many callers, through, calls/s", calls * 1e3 / durationMillis);
        double directRate = perCoreSecond(directCalls, serviceNanos);
        double throughRate = perCoreSecond(calls, entryNanos + sidecarNanos);
        report.add("lookup, direct, calls per core-second of the service", directRate);
        report.add("lookup, through, calls per core-second of entry and sidecar", throughRate);
        report.add(
                "lookup, through, calls per core-second of the entry",
                perCoreSecond(calls, entryNanos));
        report.add(
                "lookup, through, calls per core-second of the sidecar",
                perCoreSecond(calls, sidecarNanos));
        report.add(
                "lookup, through, calls per core-second of the service",
                perCoreSecond(calls, serviceThroughNanos));
        report.add("lookup, rate per core, through / direct", throughRate / directRate);
    }

    private void measureStreams() throws InterruptedException, ExecutionException {
        StreamMeasurement measurement = newStreamMeasurement();
        StreamMeasurement.Latencies direct =
                readConcurrently(measurement, directSource(measurement));
        long entryNanos = cpuNanos(List.of(entry));
        long sidecarNanos = cpuNanos(modelSidecars);
        StreamMeasurement.Latencies through =
                readConcurrently(
                        measurement, measurement.throughEntry(entry.address(), "summaries"));
        entryNanos = cpuNanos(List.of(entry)) - entryNanos;
        sidecarNanos = cpuNanos(modelSidecars) - sidecarNanos;
        addComparison(
                "stream, time to first token", direct.firstTokenNanos, through.firstTokenNanos);
        addComparison("stream, gap between tokens", direct.tokenGapNanos, through.tokenGapNanos);
        double addedMillis =
                (through.remainingTokensNanos.getValueAtPercentile(50)
                                - direct.remainingTokensNanos.getValueAtPercentile(50))
                        / NANOS_PER_MILLI;
        report.add(
                "stream, added per token after the first, median, ms",
                addedMillis / (settings.tokens() - 1));
        long tokens = (long) settings.tokens() * settings.streams();
        report.add(
                "stream, tokens per core-second of the entry", perCoreSecond(tokens, entryNanos));
        report.add(
                "stream, tokens per core-second of the sidecars",
                perCoreSecond(tokens, sidecarNanos));
    }

    private void addComparison(String what, Histogram direct, Histogram through) {
        for (double percentile : new double[] {50, 99}) {
            double directMillis = direct.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
            double throughMillis = through.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
            String which = percentile == 50 ? "median" : "99th percentile";
            report.add(what + ", direct, " + which + ", ms", directMillis);
            report.add(what + ", through, " + which + ", ms", throughMillis);
            report.add(what + ", added, " + which + ", ms", throughMillis - directMillis);
        }
    }

    private void measureMemoryAfterLoad() throws IOException {
        addResidentMemory("loaded");
        report.add(
                "entry after load, heap in use after a collection, MB",
                HeapGauge.usedBytesAfterCollection(entry.pid()) / 1e6);
        report.add(
                "sidecar after load, heap in use after a collection, MB",
                HeapGauge.usedBytesAfterCollection(serviceSidecar.pid()) / 1e6);
    }

    private void addResidentMemory(String state) {
        report.add("entry " + state + ", resident, MB", residentBytes(entry) / 1e6);
        report.add("sidecar " + state + ", resident, MB", residentBytes(serviceSidecar) / 1e6);
    }

    private StreamMeasurement.Latencies readConcurrently(
            StreamMeasurement measurement, StreamMeasurement.Source source)
            throws InterruptedException, ExecutionException {
        List<Future<StreamMeasurement.Latencies>> open = new ArrayList<>();
        for (int i = 0; i < settings.streams(); i++) {
            String prompt = "prompt number " + promptCount++ + " of the overhead run";
            open.add(readers.submit(() -> measurement.read(source, prompt)));
        }
        StreamMeasurement.Latencies all = new StreamMeasurement.Latencies();
        for (Future<StreamMeasurement.Latencies> stream : open) {
            all.add(stream.get());
        }
        return all;
    }

    private StreamMeasurement newStreamMeasurement() {
        return new StreamMeasurement(site.http(), "m1", settings.tokens());
    }

    private StreamMeasurement.Source directSource(StreamMeasurement measurement) {
        return measurement.directToEngines(directPrefill.address(), directDecode.address());
    }

    private URI directUri() {
        return lookupUri(service.address(), "");
    }

    private URI throughEntryUri() {
        return lookupUri(entry.address(), DEPLOYMENT);
    }

    private static URI lookupUri(InetSocketAddress address, String prefix) {
        return URI.create(
                "http://"
                        + address.getAddress().getHostAddress()
                        + ":"
                        + address.getPort()
                        + prefix
                        + LOOKUP);
    }

    /**
     * Returns processor time without that of the JIT compiler, which decreases with the uptime of a
     * process.
     */
    private static long cpuNanos(List<JavaProcess> processes) {
        return processes.stream()
                .mapToLong(
                        p -> ProcessGauge.cpuNanos(p.pid()) - ProcessGauge.compilerNanos(p.pid()))
                .sum();
    }

    private static long residentBytes(JavaProcess process) {
        return ProcessGauge.residentBytes(process.pid());
    }

    private static double perCoreSecond(long count, long nanos) {
        return count * NANOS_PER_SECOND / nanos;
    }
}
