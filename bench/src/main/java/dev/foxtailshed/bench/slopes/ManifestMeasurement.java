package dev.foxtailshed.bench.slopes;

import dev.foxtailshed.kernel.manifest.Manifest;
import dev.foxtailshed.kernel.manifest.ManifestReader;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Measures size, parse time and heap of manifests by number of deployments and servers. */
final class ManifestMeasurement implements ScalingMeasurement {

    private static final List<Integer> DEPLOYMENTS = List.of(100, 1_000, 2_600);
    private static final List<Integer> SERVERS = List.of(100, 1_000, 3_400);
    private static final int REPETITIONS = 7;
    private static final int WARM_UP_READS = 30;
    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    public String word() {
        return "manifest";
    }

    @Override
    public void measure(ScalingReport report) {
        DEPLOYMENTS.forEach(n -> measure(report, n, ManifestGenerator.generate(n, 10, "server-")));
        report.print("Manifest by deployments (10 servers)", "deployments");
        SERVERS.forEach(n -> measure(report, n, ManifestGenerator.generate(10, n, "server-")));
        report.print("Manifest by servers (10 deployments)", "servers");
    }

    private static void measure(ScalingReport report, int size, String text) {
        byte[] document = text.getBytes(StandardCharsets.UTF_8);
        report.add("document, bytes", size, document.length);
        for (int i = 0; i < WARM_UP_READS; i++) {
            read(document);
        }
        for (int i = 0; i < REPETITIONS; i++) {
            long startNanos = System.nanoTime();
            read(document);
            double millis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
            report.add("read and check, ms", size, millis);
            long beforeBytes = HeapInUse.bytes();
            Manifest manifest = read(document);
            report.add("heap of the read manifest, bytes", size, HeapInUse.bytes() - beforeBytes);
            if (manifest.name().isEmpty()) {
                throw new IllegalStateException("the manifest has no name");
            }
        }
    }

    private static Manifest read(byte[] document) {
        return new ManifestReader()
                .read(document)
                .getOrElseThrow(problems -> new IllegalStateException(problems.get(0).toString()));
    }
}
