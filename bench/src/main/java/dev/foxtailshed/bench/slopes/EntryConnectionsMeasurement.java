package dev.foxtailshed.bench.slopes;

import dev.foxtailshed.harness.HttpCaller;
import dev.foxtailshed.harness.JavaProcess;
import dev.foxtailshed.harness.ProgramJar;
import dev.foxtailshed.harness.Waiting;
import dev.foxtailshed.standins.PlatformStandIn;
import dev.foxtailshed.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** Measures the cost of each connected sidecar in an idle entry process; sidecars are stubs. */
final class EntryConnectionsMeasurement implements ScalingMeasurement {

    private static final List<Integer> SIZES = List.of(10, 50, 200);
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long CONNECT_TIMEOUT_MILLIS = 30_000;
    private static final List<Message> HEARTBEAT_MESSAGES =
            List.of(new Message.Heartbeat(1), new Message.LoadReport(1, false, 20, 2_000, 0, 0));

    @Override
    public String word() {
        return "entry-links";
    }

    @Override
    public void measure(ScalingReport report) throws IOException, InterruptedException {
        for (int size : SIZES) {
            measure(report, size);
        }
        report.print("Idle entry by sidecars", "sidecars");
    }

    private static void measure(ScalingReport report, int size)
            throws IOException, InterruptedException {
        HttpCaller http = new HttpCaller();
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        try (PlatformStandIn platform = PlatformStandIn.builder().listen(anyPort).start();
                StubPeers sidecars = new StubPeers(HEARTBEAT_MILLIS, HEARTBEAT_MESSAGES);
                JavaProcess entry = start(platform.address())) {
            for (int i = 0; i < size; i++) {
                String name = "server-" + i;
                String body =
                        "{\"role\":\"sidecar\",\"zone\":\"a\",\"address\":\""
                                + text(sidecars.listen(name))
                                + "\",\"state\":\"live\"}";
                http.call("PUT", platform.address(), "/control/instances/" + name, Map.of(), body);
            }
            HttpCaller.Response response =
                    http.call(
                            "POST",
                            entry.address(),
                            "/operator/v1/manifest",
                            Map.of(
                                    "Authorization",
                                    "Bearer " + StubPeers.KEY,
                                    "X-Operator",
                                    "slopes"),
                            ManifestGenerator.generate(10, size, "server-"));
            if (response.status() / 100 != 2) {
                throw new IOException("the entry rejected the manifest: " + response);
            }
            Waiting.await(
                    "all sidecars are connected",
                    CONNECT_TIMEOUT_MILLIS,
                    () -> sidecars.connectionCount() == size);
            ProcessSampler.addIdleCost(report, size, entry, sidecars);
        }
    }

    private static JavaProcess start(InetSocketAddress platform) {
        return JavaProcess.start(
                "entry",
                ProgramJar.DAEMON,
                ProcessSampler.JVM_OPTIONS,
                Map.of("FOXTAILSHED_KEY", StubPeers.KEY),
                List.of(
                        "entry",
                        "--instance",
                        "entry-0",
                        "--zone",
                        "a",
                        "--listen",
                        "127.0.0.1:0",
                        "--platform",
                        "http://" + text(platform)));
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
