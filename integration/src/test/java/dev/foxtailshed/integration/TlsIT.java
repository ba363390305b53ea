package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.harness.JavaProcess;
import dev.foxtailshed.harness.ProgramJar;
import dev.foxtailshed.standins.PlatformStandIn;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the operator command against an entry that serves HTTPS. */
class TlsIT {

    private static final String PASSWORD = "key-store-password";
    private static final Map<String, String> ENVIRONMENT =
            Map.of(
                    "FOXTAILSHED_KEY",
                    "a-key-of-enough-characters",
                    "FOXTAILSHED_TLS_KEY_STORE_PASSWORD",
                    PASSWORD,
                    "FOXTAILSHED_OPERATOR",
                    "test");

    @TempDir private static Path directory;
    private static PlatformStandIn platform;
    private static JavaProcess entry;

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        runKeytool(
                "-genkeypair -alias entry -keyalg EC -dname CN=entry -validity 30 -storetype PKCS12"
                        + " -ext san=ip:127.0.0.1 -keystore keys.p12 -storepass "
                        + PASSWORD);
        runKeytool(
                "-exportcert -alias entry -file entry.crt -keystore keys.p12 -storepass "
                        + PASSWORD);
        runKeytool(
                "-importcert -noprompt -alias entry -file entry.crt -storetype PKCS12"
                        + " -J-Dkeystore.pkcs12.certProtectionAlgorithm=NONE"
                        + " -J-Dkeystore.pkcs12.macAlgorithm=NONE"
                        + " -keystore trust.p12 -storepass unused");
        platform = PlatformStandIn.builder().start();
        entry = startDaemon(ENVIRONMENT);
        entry.awaitReady();
    }

    @AfterAll
    static void stop() {
        entry.close();
        platform.close();
    }

    @Test
    void trustedCertificateIsAccepted() {
        String trustStore = " --trust-store " + directory.resolve("trust.p12");
        try (JavaProcess command = runStatusCommand("https", trustStore)) {
            assertThat(command.awaitExit()).as(command.errorOutput()).isZero();
        }
    }

    @Test
    void unknownCertificateIsRefused() {
        try (JavaProcess command = runStatusCommand("https", "")) {
            assertThat(command.awaitExit()).isEqualTo(4);
        }
    }

    @Test
    void plainHttpIsNotServed() {
        try (JavaProcess command = runStatusCommand("http", "")) {
            assertThat(command.awaitExit()).isEqualTo(4);
        }
    }

    @Test
    void wrongPasswordOfTheKeyStoreEndsTheDaemon() {
        Map<String, String> wrong = new HashMap<>(ENVIRONMENT);
        wrong.put("FOXTAILSHED_TLS_KEY_STORE_PASSWORD", "wrong");
        try (JavaProcess process = startDaemon(wrong)) {
            assertThat(process.awaitExit()).isEqualTo(1);
            assertThat(process.errorOutput()).contains("cannot start");
        }
    }

    private static JavaProcess runStatusCommand(String scheme, String moreArguments) {
        String url = scheme + "://127.0.0.1:" + entry.address().getPort();
        return JavaProcess.start(
                "foxtailshed",
                ProgramJar.CLI,
                ENVIRONMENT,
                List.of(("--entry " + url + moreArguments + " status").split(" ")));
    }

    private static JavaProcess startDaemon(Map<String, String> environment) {
        String arguments =
                "entry --instance e --zone a --listen 127.0.0.1:0 --drain-notice-millis 0"
                        + " --platform http://127.0.0.1:"
                        + platform.address().getPort()
                        + " --tls-key-store "
                        + directory.resolve("keys.p12");
        return JavaProcess.start(
                "entry", ProgramJar.DAEMON, environment, List.of(arguments.split(" ")));
    }

    private static void runKeytool(String arguments) throws IOException, InterruptedException {
        String program = System.getProperty("java.home") + "/bin/keytool";
        List<String> command = new ArrayList<>(List.of(program));
        command.addAll(List.of(arguments.split(" ")));
        Process process =
                new ProcessBuilder(command).directory(directory.toFile()).inheritIO().start();
        assertThat(process.waitFor()).isZero();
    }
}
