package dev.foxtailshed.cli;

import static dev.foxtailshed.cli.FakeEntry.SUBMISSION_ID;
import static dev.foxtailshed.cli.FakeEntry.ScriptedResponse.LOST;
import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import dev.foxtailshed.cli.FakeEntry.Call;
import dev.foxtailshed.cli.FakeEntry.ScriptedResponse;
import dev.foxtailshed.cli.internal.PollTimer;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs commands against fake entries with scripted responses. */
class FoxtailshedTest {

    private static final Path SAMPLES = Path.of("..", "manifests");
    private static final String LIGUSTRO = SAMPLES.resolve("ligustro.json").toString();

    private static final ScriptedResponse ACCEPTED =
            ScriptedResponse.of(200, "{\"version\":6,\"submissionId\":\"" + SUBMISSION_ID + "\"}");
    private static final ScriptedResponse CONFLICT =
            ScriptedResponse.of(
                    409, error("version_conflict", "not-run").replace("}}", "},\"version\":7}"));
    private static final ScriptedResponse REFUSED =
            ScriptedResponse.of(
                    400,
                    error("invalid_request", "not-run")
                            .replace(
                                    "}}",
                                    "},\"problems\":[{\"path\":\"$.name\",\"expected\":\"a name\","
                                            + "\"found\":\"7\"}]}"));
    private static final ScriptedResponse NOT_RUN =
            ScriptedResponse.of(503, error("store_unavailable", "not-run"));
    private static final ScriptedResponse UNKNOWN =
            ScriptedResponse.of(504, error("outcome_unknown", "may-have-run"));
    private static final ScriptedResponse SERVER_ERROR = ScriptedResponse.of(500, "oops");
    private static final ScriptedResponse INVALID_BODY = ScriptedResponse.of(200, "[]");
    private static final ScriptedResponse WRONG_KEY =
            ScriptedResponse.of(401, error("unauthorized", "not-run"));
    private static final ScriptedResponse IN_FORCE = inForce(6, 6, true);

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final ManualTimer timer = new ManualTimer();

    static Stream<Arguments> submissions() {
        return Stream.of(
                arguments("accepted", 0, "accepted as version 6", 1, List.of(ACCEPTED)),
                arguments("refused", 2, "$.name: expected a name, found 7", 1, List.of(REFUSED)),
                arguments("wrong key", 2, "unauthorized", 1, List.of(WRONG_KEY)),
                arguments("conflict", 3, "conflict: version 7 won", 1, List.of(CONFLICT)),
                arguments("store down", 4, "store_unavailable", 1, List.of(NOT_RUN)),
                arguments("lost", 0, "accepted as version 6", 2, List.of(LOST, ACCEPTED)),
                arguments("unknown", 0, "accepted as version 6", 2, List.of(UNKNOWN, ACCEPTED)),
                arguments("fault", 0, "accepted as version 6", 2, List.of(SERVER_ERROR, ACCEPTED)),
                arguments(
                        "garbage", 0, "accepted as version 6", 2, List.of(INVALID_BODY, ACCEPTED)),
                arguments("lost, then won", 3, "version 7 won", 2, List.of(LOST, CONFLICT)),
                arguments("lost, then down", 5, "outcome unknown", 6, List.of(LOST, NOT_RUN)),
                arguments("lost, then refused", 5, "outcome unknown", 2, List.of(LOST, REFUSED)),
                arguments("always lost", 5, "--submission-id", 6, List.of(LOST)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("submissions")
    void submissionEndsWithItsExitCode(
            String name, int exitCode, String text, int callCount, List<ScriptedResponse> script)
            throws Exception {
        try (FakeEntry entry = new FakeEntry(script.toArray(new ScriptedResponse[0]))) {
            int code = run(entry, "manifest", "submit", LIGUSTRO, "--expect-version", "5");

            assertThat(code).isEqualTo(exitCode);
            assertThat(out.toString()).contains(text);
            assertThat(entry.calls()).hasSize(callCount);
            assertThat(entry.calls().stream().map(Call::submissionId).distinct()).hasSize(1);
            Call call = entry.calls().get(0);
            assertThat(call.path()).startsWith("/operator/v1/manifest?").contains("ersion=5");
            assertThat(call.key() + " " + call.operator()).isEqualTo("Bearer k ana");
            assertThat(call.body()).isEqualTo(Files.readString(Path.of(LIGUSTRO)));
        }
    }

    @Test
    void conflictIsNotFinalWhileUnansweredAttemptMayStillTakeEffect() throws Exception {
        try (FakeEntry entry = new FakeEntry(LOST, CONFLICT, ACCEPTED)) {
            assertThat(run(entry, "manifest", "submit", LIGUSTRO)).isZero();
            assertThat(entry.calls()).hasSize(3);
        }
        try (FakeEntry entry = new FakeEntry(LOST, CONFLICT)) {
            assertThat(run(entry, "manifest", "submit", LIGUSTRO, "--expect-version", "7"))
                    .isEqualTo(5);
        }
    }

    @Test
    void unreachableEntryIsSkipped() throws Exception {
        try (FakeEntry entry = new FakeEntry(ACCEPTED)) {
            String entries = unusedAddress() + "," + entry.address();

            assertThat(run(entries, "manifest", "submit", LIGUSTRO)).isZero();
            assertThat(run(entries, "manifest", "get")).isZero();
            assertThat(run(unusedAddress(), "manifest", "submit", LIGUSTRO)).isEqualTo(4);
            assertThat(run(unusedAddress(), "status")).isEqualTo(4);
        }
    }

    @Test
    void lostResponseIsResolvedAtNextEntry() throws Exception {
        try (FakeEntry first = new FakeEntry(LOST);
                FakeEntry second = new FakeEntry(ACCEPTED)) {
            String entries = first.address() + "," + second.address();

            assertThat(run(entries, "--json", "manifest", "submit", LIGUSTRO)).isZero();

            assertThat(out.toString())
                    .contains("\"exitCode\":\"DONE\",\"version\":6")
                    .contains(first.calls().get(0).submissionId());
            assertThat(second.calls().get(0).submissionId())
                    .isEqualTo(first.calls().get(0).submissionId());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "6, 6, true, --wait 0, 0",
        "6, 5, true, --wait 1, 1",
        "6, 6, false, --wait 1, 1",
        "6, 5, true, --expect-version 5, 0",
        "6, 6, true, --expect-version 7, 1",
        "6, 5, true, --json, 0",
    })
    void statusChecksVersionInForce(
            long newest, long applied, boolean reachable, String flags, int exitCode)
            throws Exception {
        try (FakeEntry entry = new FakeEntry(inForce(newest, applied, reachable))) {
            assertThat(run(entry, ("manifest status " + flags).split(" "))).isEqualTo(exitCode);
            assertThat(out.toString()).contains("entry-1");
        }
    }

    @Test
    void statusRetriesFailedCallsUntilManifestIsInForce() throws Exception {
        try (FakeEntry entry = new FakeEntry(inForce(6, 5, true), NOT_RUN, LOST, IN_FORCE)) {
            assertThat(run(entry, "manifest", "status", "--wait", "9")).isZero();
            assertThat(entry.calls()).hasSize(4);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "manifest",
                "nonsense",
                "manifest submit",
                "manifest submit no-such-file",
                "status --entry 10.0.0.1:80",
                "status --entry ftp://10.0.0.1:80",
                "status --operator a\u0007",
                "status --timeout-millis 0",
                "manifest status --wait soon",
                "manifest submit pom.xml --submission-id a&b",
            })
    void invalidUsageIsRejected(String line) throws Exception {
        assertThat(run(unusedAddress(), line.isEmpty() ? new String[0] : line.split(" ")))
                .isEqualTo(2);
        assertThat(err.toString()).isNotEmpty();
    }

    @Test
    void flagsMayFollowTheCommand() throws Exception {
        try (FakeEntry entry = new FakeEntry(IN_FORCE)) {
            String[] args = {"manifest", "status", "--key=x", "--operator=eva", "--entry"};
            args =
                    Stream.concat(Stream.of(args), Stream.of(entry.address()))
                            .toArray(String[]::new);

            assertThat(run(unusedAddress(), args)).isZero();
            assertThat(entry.calls().get(0).key()).isEqualTo("Bearer x");
            assertThat(run("", "status")).isEqualTo(2);
        }
    }

    @Test
    void checkNeedsNoEntry(@TempDir Path directory) throws Exception {
        Path bad = directory.resolve("bad.json");
        Files.writeString(bad, Files.readString(Path.of(LIGUSTRO)).replace("retryBudgetP", "p"));

        assertThat(run("", "manifest", "check", LIGUSTRO)).isZero();
        assertThat(run("", "manifest", "check", bad.toString())).isEqualTo(2);
        assertThat(out.toString()).contains("$.policies[0].retryBudgetPercent: expected an int");
    }

    @Test
    void diffAcceptsFilesAndVersions() throws Exception {
        String document = Files.readString(Path.of(LIGUSTRO));
        String changed = document.replace("\"queueLimit\": 200", "\"queueLimit\": 90");
        try (FakeEntry entry = new FakeEntry(new ScriptedResponse(200, changed, "6"))) {
            assertThat(run(entry, "manifest", "diff", LIGUSTRO, "6")).isZero();
            assertThat(out.toString())
                    .contains("changed $.policies[model-calls].queueLimit 200 -> 90");
            assertThat(run(entry, "manifest", "diff", "6", "6", "--json")).isZero();
            assertThat(out.toString()).contains("{\"changes\":[]}");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "ana, doc, 0, verified from version 1",
        "eve, doc, 1, version 2: does not match",
        "ana, other, 1, version 2: the document is not"
    })
    void auditTrailVerifiesHistoryChain(String who, String document, int exitCode, String text)
            throws Exception {
        ScriptedResponse history =
                ScriptedResponse.of(200, TestHistory.json("ana", "doc").replace("ana", who));
        try (FakeEntry entry = new FakeEntry(history, ScriptedResponse.of(200, document))) {
            assertThat(run(entry, "audit", "trail")).isEqualTo(exitCode);
            assertThat(out.toString()).contains(text);
            assertThat(entry.calls())
                    .extracting(Call::path)
                    .contains("/operator/v1/manifest?version=2");
        }
    }

    @Test
    void tablesAlignColumnsAndReplaceControlCharacters() throws Exception {
        String status =
                "{\"instance\":\"entry-1\",\"manifestVersion\":6,\"servers\":[{\"name\":\"llm-1\","
                        + "\"pool\":\"prefill\",\"zone\":\"a\",\"state\":\"live\\u001b[2J\"}],"
                        + "\"goodput\":[{\"deployment\":\"orders\",\"requestClass\":\"lookup\","
                        + "\"met\":9,\"missed\":1,\"failed\":0}],\"prefillTokens\":100}";
        try (FakeEntry entry = new FakeEntry(ScriptedResponse.of(200, status))) {
            assertThat(run(entry, "status")).isZero();
            assertThat(out.toString())
                    .contains("SERVER  POOL     ZONE  STATE     SLOTS")
                    .contains("llm-1   prefill  a     live?[2J  0")
                    .contains("orders      lookup  9    1       0")
                    .contains("wasted prefill: 0 of 100 tokens");
        }
    }

    private int run(FakeEntry entry, String... args) {
        return run(entry.address(), args);
    }

    private int run(String entries, String... args) {
        Map<String, String> environment =
                Map.of(
                        "FOXTAILSHED_ENTRY", entries,
                        "FOXTAILSHED_KEY", "k",
                        "FOXTAILSHED_OPERATOR", "ana");
        PrintStream outStream = new PrintStream(out, true, StandardCharsets.UTF_8);
        PrintStream errStream = new PrintStream(err, true, StandardCharsets.UTF_8);
        return new Foxtailshed(environment, outStream, errStream, timer).run(args);
    }

    private static String unusedAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "http://127.0.0.1:" + socket.getLocalPort();
        }
    }

    private static String error(String code, String verdict) {
        return "{\"error\":{\"code\":\"%s\",\"message\":\"m\",\"verdict\":\"%s\"}}"
                .formatted(code, verdict);
    }

    private static ScriptedResponse inForce(long newest, long applied, boolean reachable) {
        return ScriptedResponse.of(
                200,
                ("{\"newestVersion\":%d,\"instances\":[{\"name\":\"entry-1\",\"role\":\"entry\","
                                + "\"version\":%d,\"sinceEpochMillis\":1,\"reachable\":%b}]}")
                        .formatted(newest, applied, reachable));
    }

    /** A timer that advances by each sleep without waiting. */
    private static final class ManualTimer implements PollTimer {
        private long nowMillis;

        @Override
        public long nowMillis() {
            return nowMillis;
        }

        @Override
        public void sleep(long millis) {
            nowMillis += millis;
        }
    }
}
