package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import dev.foxtailshed.harness.HttpCaller.Response;
import dev.foxtailshed.harness.Installation;
import dev.foxtailshed.harness.ProgramJar;
import dev.foxtailshed.harness.Waiting;
import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.FrameClient;
import dev.foxtailshed.wire.FrameTransport;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.SharedKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the operator command as a process, and that the operator endpoint and the frame port refuse
 * clients without the key.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class OperatorCommandIT {

    private static final String WRONG_KEY = "some-other-key-of-this-length";
    private static final Pattern HTTP_READY = Pattern.compile("E1005 HTTP_READY port=\\D?(\\d+)");

    @TempDir private static Path directory;
    private static final ThreadFactory DAEMON_THREAD_FACTORY =
            task -> {
                Thread thread = new Thread(task, "frames");
                thread.setDaemon(true);
                return thread;
            };

    private static Installation site;
    private static Path first;
    private static Path second;

    @BeforeAll
    static void start() throws IOException {
        site =
                Installation.builder()
                        .entries(2)
                        .withoutManifestSubmission()
                        .sidecarArguments("--http-listen", "127.0.0.1:0")
                        .start();
        first = Files.writeString(directory.resolve("first.json"), site.manifest());
        second = Files.writeString(directory.resolve("second.json"), withQueueLimit(501));
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    /** Exit code, and standard output and error together, of one run of the command. */
    private record CommandResult(int exitCode, String text) {}

    @Test
    @Order(1)
    void submittedManifestIsInForceEverywhere() throws IOException {
        assertThat(runCli("manifest check " + first).exitCode()).isZero();
        assertThat(runCli("manifest submit " + first + " --expect-version 0"))
                .isEqualTo(new CommandResult(0, "accepted as version 1\n"));
        assertThat(runCli("manifest status --wait 20 --expect-version 1").exitCode()).isZero();
        assertThat(runCli("manifest get").text()).endsWith("\n" + Files.readString(first));
        assertThat(runCli("status").exitCode()).isZero();
    }

    @Test
    @Order(2)
    void oneOfTwoConcurrentSubmissionsWins() throws IOException {
        Path third = Files.writeString(directory.resolve("third.json"), withQueueLimit(502));
        site.setPlatformFaults("{\"delayMillis\":300}");
        CompletableFuture<CommandResult> atSecondEntry =
                CompletableFuture.supplyAsync(
                        () -> runCliAt(1, "manifest submit " + second + " --expect-version 1"));
        CommandResult atFirstEntry =
                runCliAt(0, "manifest submit " + third + " --expect-version 1");
        List<CommandResult> both = List.of(atFirstEntry, atSecondEntry.join());
        site.setPlatformFaults("{}");

        assertThat(both).extracting(CommandResult::exitCode).containsExactlyInAnyOrder(0, 3);
        assertThat(both)
                .extracting(CommandResult::text)
                .contains("accepted as version 2\n")
                .contains("conflict: version 2 won; this manifest was not accepted\n");
    }

    @Test
    @Order(3)
    void historyShowsOperatorsAndChanges() {
        assertThat(runCli("manifest history").text()).contains("rosa").contains("127.0.0.1");
        assertThat(runCli("manifest diff 1 2").text()).contains("policies[default].queueLimit");
        CommandResult trail = runCli("audit trail");
        assertThat(trail.exitCode()).isZero();
        assertThat(trail.text()).contains("verified from version 1");
    }

    @Test
    @Order(4)
    void exitCodesReportTheOutcome() throws IOException {
        Path bad = directory.resolve("bad.json");
        Files.writeString(
                bad, site.manifest().replace("\"queueLimit\": 500", "\"queueLimit\": -1"));
        assertThat(runCli("manifest check " + bad).exitCode()).isEqualTo(2);
        CommandResult refused = runCli("manifest submit " + bad);
        assertThat(refused.exitCode()).isEqualTo(2);
        assertThat(refused.text()).contains("$.policies[0].queueLimit");
        CommandResult wrongKey = runCli("manifest submit " + first + " --key " + WRONG_KEY);
        assertThat(wrongKey.exitCode()).isEqualTo(2);
        assertThat(wrongKey.text()).contains("unauthorized").doesNotContain(WRONG_KEY);
        site.setPlatformFaults("{\"outage\":true}");
        assertThat(runCli("manifest submit " + first).exitCode()).isEqualTo(4);
        site.setPlatformFaults("{}");
        assertThat(runCli("manifest status --expect-version 2").exitCode()).isZero();
        assertThat(runCli("manifest status --expect-version 3").exitCode()).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Bearer", "Bearer " + WRONG_KEY, "Basic " + Installation.KEY})
    void operatorEndpointRefusesRequestsWithoutValidKey(String authorization) throws IOException {
        for (String path : List.of("manifest", "history", "in-force", "status", "nothing")) {
            Response response =
                    site.call(
                            0,
                            "GET",
                            "/operator/v1/" + path,
                            authorization.isEmpty()
                                    ? Map.of()
                                    : Map.of("Authorization", authorization),
                            "");
            assertThat(response.status()).isEqualTo(401);
            assertThat(response.errorCode()).isEqualTo("unauthorized");
        }
    }

    @Test
    void framePortCountsAndClosesConnectionsWithMalformedFramesOrWrongKeys() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", site.sidecar("s1").address().getPort())) {
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
            assertThat(socket.getInputStream().readAllBytes()).isNotEmpty();
        }
        CompletableFuture<String> closed = new CompletableFuture<>();
        FrameTransport unauthorizedTransport =
                FrameTransport.builder()
                        .key(new SharedKey(WRONG_KEY))
                        .name("stranger")
                        .incarnation(1)
                        .executor(Executors.newCachedThreadPool(DAEMON_THREAD_FACTORY))
                        .build();
        try (unauthorizedTransport;
                FrameClient client = unauthorizedTransport.newClient()) {
            client.connect(site.sidecar("s1").address(), new ClosedListener(closed));
            assertThat(closed.get(10, TimeUnit.SECONDS)).isNotEmpty();
        }
        InetSocketAddress http = new InetSocketAddress("127.0.0.1", httpPort("s1"));
        Waiting.await(
                "both are counted",
                10_000,
                () -> {
                    JsonObject gauges = gauges(http);
                    return gauges.get("wire.malformedFrames").getAsLong() == 1
                            && gauges.get("wire.refusedHandshakes").getAsLong() == 1;
                });
    }

    private static JsonObject gauges(InetSocketAddress http) {
        try {
            Response response = site.http().call("GET", http, "/metrics", Map.of(), "");
            return response.json().getAsJsonObject("gauges");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static int httpPort(String server) {
        Matcher matcher = HTTP_READY.matcher(site.sidecar(server).errorOutput());
        assertThat(matcher.find()).isTrue();
        return Integer.parseInt(matcher.group(1));
    }

    private static String withQueueLimit(int limit) {
        return site.manifest().replace("\"queueLimit\": 500", "\"queueLimit\": " + limit);
    }

    private static CommandResult runCli(String arguments) {
        return runCliAt(0, arguments);
    }

    private static CommandResult runCliAt(int entry, String arguments) {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + "/bin/java");
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar"));
        command.add(ProgramJar.CLI.path().toString());
        command.addAll(List.of(arguments.split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment()
                .putAll(
                        Map.of(
                                "FOXTAILSHED_KEY",
                                Installation.KEY,
                                "FOXTAILSHED_OPERATOR",
                                "rosa",
                                "FOXTAILSHED_ENTRY",
                                "http://127.0.0.1:" + site.entry(entry).address().getPort()));
        try {
            Process process = builder.start();
            String text =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return new CommandResult(process.waitFor(), text);
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Completes a future when the connection closes; fails it on any other event. */
    private record ClosedListener(CompletableFuture<String> closed) implements Connection.Listener {

        @Override
        public void onOpen(Connection connection, Connection.Peer peer) {
            closed.completeExceptionally(new AssertionError("opened"));
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            closed.completeExceptionally(new AssertionError("message"));
        }

        @Override
        public void onClose(Connection connection, String reason) {
            closed.complete(reason);
        }
    }
}
