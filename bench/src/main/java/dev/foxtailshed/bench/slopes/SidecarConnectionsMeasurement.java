package dev.foxtailshed.bench.slopes;

import dev.foxtailshed.harness.JavaProcess;
import dev.foxtailshed.harness.ProgramJar;
import dev.foxtailshed.harness.Waiting;
import dev.foxtailshed.standins.PlatformStandIn;
import dev.foxtailshed.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Measures the cost of each connected entry in an idle sidecar process; entries are stubs. */
final class SidecarConnectionsMeasurement implements ScalingMeasurement {

    private static final List<Integer> SIZES = List.of(10, 50, 200);
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long CONNECT_TIMEOUT_MILLIS = 30_000;

    @Override
    public String word() {
        return "sidecar-links";
    }

    @Override
    public void measure(ScalingReport report) throws IOException, InterruptedException {
        for (int size : SIZES) {
            measure(report, size);
        }
        report.print("Idle sidecar by entries", "entries");
    }

    private static void measure(ScalingReport report, int size)
            throws IOException, InterruptedException {
        byte[] document =
                ManifestGenerator.generate(10, 10, "server-").getBytes(StandardCharsets.UTF_8);
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        try (PlatformStandIn platform = PlatformStandIn.builder().listen(anyPort).start();
                JavaProcess plainService = startService();
                JavaProcess sidecar = startSidecar(platform.address(), plainService.address());
                StubPeers entries =
                        new StubPeers(HEARTBEAT_MILLIS, List.of(new Message.Heartbeat(1)))) {
            for (int i = 0; i < size; i++) {
                entries.connect("entry-" + i, sidecar.address());
            }
            Waiting.await(
                    "all entries are connected",
                    CONNECT_TIMEOUT_MILLIS,
                    () -> entries.connectionCount() == size);
            entries.sendOnce(new Message.ManifestDocument(1, document));
            ProcessSampler.addIdleCost(report, size, sidecar, entries);
        }
    }

    private static JavaProcess startService() {
        return JavaProcess.start(
                "service",
                ProgramJar.STANDINS,
                Map.of(),
                List.of("service", "--listen", "127.0.0.1:0"));
    }

    private static JavaProcess startSidecar(
            InetSocketAddress platform, InetSocketAddress plainService) {
        return JavaProcess.start(
                "sidecar",
                ProgramJar.DAEMON,
                ProcessSampler.JVM_OPTIONS,
                Map.of("FOXTAILSHED_KEY", StubPeers.KEY),
                List.of(
                        "sidecar",
                        "--server",
                        "server-0",
                        "--zone",
                        "a",
                        "--listen",
                        "127.0.0.1:0",
                        "--platform",
                        "http://" + text(platform),
                        "--backend",
                        "http://" + text(plainService),
                        "--backend-kind",
                        "plain"));
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
