package dev.foxtailshed.cli.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of {@link ExplainCommand}, which reads log lines only and calls no entry. */
class ExplainCommandTest {

    @TempDir Path directory;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @Test
    void printsEventsOfRequestAndContextOfItsEntry() throws IOException {
        Path log = directory.resolve("e.log");
        Files.writeString(
                log,
                String.join(
                        "\n",
                        "e-1 " + line("2026-12-04T06:00:00.500Z", "STREAM_STARTED", "r1", "s-9"),
                        "not an event",
                        "e-1 " + line("2026-12-04T06:00:01.000Z", "SERVER_LEFT", "", "s-9"),
                        "e-2 " + line("2026-12-04T06:00:01.000Z", "SERVER_LEFT", "", "s-8"),
                        "e-1 " + line("2026-12-04T06:00:01.500Z", "ATTEMPT_FAILED", "r1", "s-9"),
                        "e-1 " + line("2026-12-04T06:00:00.100Z", "SERVER_USABLE", "", "s-9"),
                        "e-1 " + line("2026-12-04T05:00:00.100Z", "SERVER_USABLE", "", "s-7"),
                        "e-1 " + line("2026-12-04T06:00:01.600Z", "REQUEST_FAILED", "r1", ""),
                        "e-1 " + line("2026-12-04T06:00:01.100Z", "REQUEST_FAILED", "r2", ""),
                        "{ broken r1"));

        assertThat(run("explain", "r1", log.toString())).isEqualTo(ExitCode.DONE);

        String output = out.toString(StandardCharsets.UTF_8);
        assertThat(output.lines().skip(1).map(line -> line.trim().split("\\s+")[2]))
                .containsExactly(
                        "SERVER_USABLE",
                        "STREAM_STARTED",
                        "SERVER_LEFT",
                        "ATTEMPT_FAILED",
                        "REQUEST_FAILED");
        assertThat(output).contains("server=s-9").doesNotContain("s-8", "s-7", "r2");
    }

    @Test
    void unknownRequestIsReported() throws IOException {
        Path log = directory.resolve("e.log");
        Files.writeString(log, line("2026-12-04T06:00:00Z", "REQUEST_FAILED", "r2", ""));
        assertThat(run("explain", "r1", log.toString())).isEqualTo(ExitCode.CHECK_FAILED);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("no line of the logs names");
    }

    @Test
    void missingFileIsBadUse() {
        assertThat(run("explain", "r1", directory.resolve("none").toString()))
                .isEqualTo(ExitCode.BAD_USE);
    }

    private ExitCode run(String... args) {
        return new CommandLine(
                        Map.of(),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        new FailingTimer())
                .run(args);
    }

    private static String line(String time, String name, String request, String server) {
        return String.format(
                "{\"time\":\"%s\",\"level\":\"INFO\",\"event\":1,\"name\":\"%s\","
                        + "\"request\":\"%s\",\"server\":\"%s\"}",
                time, name, request, server);
    }

    /** A timer that fails the test if the command waits. */
    private static final class FailingTimer implements PollTimer {
        @Override
        public long nowMillis() {
            return 0;
        }

        @Override
        public void sleep(long millis) {
            throw new AssertionError("unexpected wait");
        }
    }
}
