package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import dev.foxtailshed.harness.JavaProcess;
import dev.foxtailshed.harness.ProgramJar;
import dev.foxtailshed.standins.PlatformStandIn;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the daemon's command line, exit statuses, key handling, SIGTERM and JSON log. */
class DaemonProcessIT {

    private static final Map<String, String> KEY =
            Map.of("FOXTAILSHED_KEY", "a-key-of-enough-characters");

    @ParameterizedTest
    @ValueSource(strings = {"--help", "entry --help", "sidecar --help"})
    void helpEndsWithStatusZero(String arguments) {
        try (JavaProcess process = run(Map.of(), arguments)) {
            assertThat(process.awaitExit()).isZero();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "entry --zone a --platform http://127.0.0.1:1, --instance (FOXTAILSHED_INSTANCE)",
        "entry --instance e --zone a --platform here, --platform (FOXTAILSHED_PLATFORM)",
        "entry --instance e --zone a --platform http://127.0.0.1:1 --lease-millis 5, "
                + "--lease-millis (FOXTAILSHED_LEASE_MILLIS)",
        "sidecar --server s --zone a --platform http://127.0.0.1:1 --backend http://127.0.0.1:1 "
                + "--backend-kind oracle, --backend-kind (FOXTAILSHED_BACKEND_KIND)",
        "sidecar --nonsense 1, --nonsense"
    })
    void badSettingEndsWithStatusTwoAndOneLineNamingTheSetting(
            String arguments, String settingName) {
        try (JavaProcess process = run(KEY, arguments)) {
            assertThat(process.awaitExit()).isEqualTo(2);
            assertThat(process.errorOutput().lines()).hasSize(1);
            assertThat(process.errorOutput()).contains(settingName);
        }
    }

    @Test
    void keyIsNeverPrinted() {
        Map<String, String> shortKey = Map.of("FOXTAILSHED_KEY", "too-short");
        String arguments = "entry --instance e --zone a --platform http://127.0.0.1:1";
        try (JavaProcess process = run(shortKey, arguments)) {
            assertThat(process.awaitExit()).isEqualTo(2);
            assertThat(process.errorOutput()).contains("--key").doesNotContain("too-short");
        }
    }

    @Test
    void idleEntryEndsWithStatusZeroOnSigterm() throws IOException {
        try (PlatformStandIn platform = PlatformStandIn.builder().start()) {
            String url = "http://127.0.0.1:" + platform.address().getPort();
            String arguments =
                    "entry --instance e --zone a --listen 127.0.0.1:0 --drain-notice-millis 0"
                            + " --platform "
                            + url;
            try (JavaProcess process = run(KEY, arguments)) {
                process.awaitReady();
                process.terminate();
                assertThat(process.awaitExit()).isZero();
            }
        }
    }

    @Test
    void jsonLogLinesContainTheEventAndItsValues() throws IOException {
        try (PlatformStandIn platform = PlatformStandIn.builder().start()) {
            String arguments =
                    "entry --instance e --zone a --listen 127.0.0.1:0 --drain-notice-millis 0"
                            + " --log-format json --platform http://127.0.0.1:"
                            + platform.address().getPort();
            try (JavaProcess process = run(KEY, arguments)) {
                process.awaitReady();
                process.terminate();
                process.awaitExit();
                List<String> logged =
                        process.output()
                                .lines()
                                .filter(line -> !line.startsWith("ready entry "))
                                .toList();
                JsonObject first = JsonParser.parseString(logged.get(0)).getAsJsonObject();
                assertThat(first.get("event").getAsInt()).isEqualTo(1001);
                assertThat(first.get("role").getAsString()).isEqualTo("entry");
                assertThat(logged).allMatch(line -> line.startsWith("{"));
                assertThat(process.output().lines()).hasSize(logged.size() + 1);
                assertThat(process.errorOutput()).isEmpty();
            }
        }
    }

    private static JavaProcess run(Map<String, String> environment, String arguments) {
        return JavaProcess.start(
                "foxtailshedd", ProgramJar.DAEMON, environment, List.of(arguments.split(" ")));
    }
}
