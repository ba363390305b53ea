package dev.foxtailshed.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link StandIn} run as a separate process. */
class StandInProcessTest {

    private static final String ADDRESS = "127\\.0\\.0\\.1:[1-9]\\d*";

    @TempDir private Path directory;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "platform --listen 127.0.0.1:0",
                "service --listen 127.0.0.1:0",
                "engine --listen 127.0.0.1:0 --name e-1 --role prefill --checks-fencing false",
                "proxy --listen 127.0.0.1:0 --target 127.0.0.1:1 --control 127.0.0.1:0"
                        + " --pair 127.0.0.1:0=127.0.0.1:2 --pair 127.0.0.1:0=127.0.0.1:3"
            })
    void terminatedProcessExitsWithZero(String command) throws Exception {
        String role = command.substring(0, command.indexOf(' '));
        String name = role.equals("engine") ? " e-1" : "";
        Process process = start(command);
        try (BufferedReader output = process.inputReader()) {
            assertThat(output.readLine()).matches("ready " + role + " " + ADDRESS + name);
            if (role.equals("proxy")) {
                assertThat(output.readLine()).matches("ready proxy " + ADDRESS);
                assertThat(output.readLine()).matches("ready proxy " + ADDRESS);
                assertThat(output.readLine()).matches("ready control " + ADDRESS);
            }
            process.toHandle().destroy();
            assertThat(process.waitFor()).isZero();
            assertThat(output.readLine()).isNull();
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void crashWordExitsTheProcessWith42() throws Exception {
        Path config = directory.resolve("engines.json");
        Files.writeString(
                config,
                "[{\"listen\":\"127.0.0.1:0\",\"name\":\"a\",\"role\":\"prefill\"},"
                        + "{\"listen\":\"127.0.0.1:0\",\"name\":\"b\",\"tokenMillis\":5}]");
        Process process = start("engines --config " + config);
        try (BufferedReader output = process.inputReader();
                TestCaller caller = new TestCaller()) {
            String[] ready = output.readLine().split(" ");
            assertThat(output.readLine()).matches("ready engine " + ADDRESS + " b");
            InetSocketAddress first = CommandLine.parseAddress(ready[2]);
            String body =
                    "{\"model\":\"m\",\"prompt\":\"now crash-engine\",\"max_tokens\":1,"
                            + "\"kv_transfer_params\":{\"do_remote_decode\":true}}";
            caller.sendAsync(caller.request(first, "POST", "/v1/completions", body));
            assertThat(process.waitFor()).isEqualTo(42);
        } finally {
            process.destroyForcibly();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "platform",
                "nothing",
                "platform --listen somewhere:1",
                "engine --listen 127.0.0.1:0 --request-slots many",
                "engine --listen 127.0.0.1:0 --role cook",
                "engines --config no-such-file",
                "proxy --control 127.0.0.1:0"
            })
    void invalidSettingsExitWithTwoAndOneErrorLine(String command) throws Exception {
        Process process = start(command);
        try (BufferedReader errors = process.errorReader()) {
            assertThat(errors.lines()).hasSize(1);
        }
        assertThat(process.waitFor()).isEqualTo(2);
    }

    @Test
    void helpExitsWithZero() throws Exception {
        assertThat(start("engine --help").waitFor()).isZero();
    }

    private static Process start(String command) throws IOException {
        List<String> commandLine = new ArrayList<>();
        commandLine.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        commandLine.addAll(List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        commandLine.addAll(List.of("-cp", System.getProperty("java.class.path")));
        commandLine.add(StandIn.class.getName());
        commandLine.addAll(List.of(command.split(" ")));
        return new ProcessBuilder(commandLine).start();
    }
}
