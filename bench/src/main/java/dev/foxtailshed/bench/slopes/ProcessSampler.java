package dev.foxtailshed.bench.slopes;

import dev.foxtailshed.bench.measure.HeapGauge;
import dev.foxtailshed.bench.measure.ProcessGauge;
import dev.foxtailshed.harness.JavaProcess;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Measures processor time, traffic and memory of a process. */
final class ProcessSampler {

    /** The JVM options of the daemon's start script. */
    static final List<String> JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-Xss256k", "-Xmx128m");

    private static final long SETTLE_MILLIS = 8_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final int WINDOW_COUNT = 3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_KB = 1e3;

    private ProcessSampler() {}

    /** Adds processor time, traffic and memory of a process at one size, while it is idle. */
    static void addIdleCost(ScalingReport report, int size, JavaProcess process, StubPeers peers)
            throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        for (int i = 0; i < WINDOW_COUNT; i++) {
            long beforeNanos = cpuNanos(process);
            long beforeBytes = peers.transferredBytes();
            TimeUnit.MILLISECONDS.sleep(WINDOW_MILLIS);
            double seconds = WINDOW_MILLIS / 1e3;
            double millis = (cpuNanos(process) - beforeNanos) / NANOS_PER_MILLI;
            report.add(
                    "processor time without the JIT compiler, ms a second", size, millis / seconds);
            report.add(
                    "frames both ways, kB a second",
                    size,
                    (peers.transferredBytes() - beforeBytes) / BYTES_PER_KB / seconds);
        }
        addMemory(report, size, process, "");
    }

    /** Adds the memory of a process at one size. */
    static void addMemory(ScalingReport report, int size, JavaProcess process, String prefix)
            throws IOException {
        report.add(
                prefix + "resident, kB",
                size,
                ProcessGauge.residentBytes(process.pid()) / BYTES_PER_KB);
        report.add(
                prefix + "heap after a collection, kB",
                size,
                HeapGauge.usedBytesAfterCollection(process.pid()) / BYTES_PER_KB);
    }

    private static long cpuNanos(JavaProcess process) {
        return ProcessGauge.cpuNanos(process.pid()) - ProcessGauge.compilerNanos(process.pid());
    }
}
