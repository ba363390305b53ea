package dev.foxtailshed.kernel.manifest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the problems reported for invalid documents and the model of a valid one. */
class ManifestReaderTest {

    private static final String VALID =
            """
            {"name":"n","region":"r","zones":[{"name":"a"}],
            "classes":[{"name":"c","priority":1,"timeToFirstTokenMillis":250,
              "timeBetweenTokensMillis":0,"timeoutMillis":9000,"patient":false}],
            "pools":[
              {"name":"pre","kind":"prefill","requestSlots":4,"kvPieces":10,"tokensPerPiece":16,
               "kvBytesPerToken":8,"linkBytesPerSecond":100,"prefillTokensPerSecond":50},
              {"name":"dec","kind":"decode","requestSlots":4,"kvPieces":10,"tokensPerPiece":16,
               "kvBytesPerToken":8,"linkBytesPerSecond":100},
              {"name":"svc","kind":"plain","requestSlots":4},
              {"name":"idle","kind":"plain","requestSlots":4}],
            "servers":[{"name":"s1","pool":"pre","zone":"a","checksFencing":true},
              {"name":"s2","pool":"dec","zone":"a","checksFencing":false},
              {"name":"s3","pool":"svc","zone":"a","checksFencing":false}],
            "policies":[{"name":"p","router":"naive","retryBudgetPercent":10,"queueLimit":5,
              "maximumAttempts":3,"preferZonePenaltyMillis":2}],
            "deployments":[
              {"name":"m","kind":"model","policy":"p","defaultClass":"c","model":"M/1",
               "prefillPool":"pre","decodePool":"dec","maximumPromptTokens":9,
               "maximumOutputTokens":7},
              {"name":"d","kind":"plain","policy":"p","defaultClass":"c","pool":"svc","routes":[
               {"method":"GET","pathPrefix":"/stock","class":"c","repeatable":true},
               {"method":"GET","pathPrefix":"/stock/reserve","class":"c","repeatable":false}]}]}
            """;

    static Stream<Arguments> invalidDocuments() {
        return Stream.of(
                change("\"region\":\"r\",", "", "$.region: expected a name of *found nothing"),
                change("\"n\"", "\"N n\"", "$.name: expected a name *found \"N n\""),
                change("{\"name\":\"a\"}", "7", "$.zones[0]: expected an object, found 7"),
                change("[{\"name\":\"a\"}]", "{}", "$.zones: expected an array, found an object"),
                change(
                        "\"requestSlots\":4,\"kvPieces\":10,\"tokensPerPiece\":16,\n"
                                + "   \"kvBytesPerToken\":8,\"linkBytesPerSecond\":100}",
                        "\"requestSlots\":\"many\",\"kvPieces\":10,\"tokensPerPiece\":16,"
                                + "\"kvBytesPerToken\":8,\"linkBytesPerSecond\":100}",
                        "$.pools[1].requestSlots: expected an integer from 1 to 100000, found"
                                + " \"many\""),
                change("\"priority\":1", "\"priority\":10", "$.classes[0].priority: *0 to 9*10"),
                change("\"priority\":1", "\"priority\":1.5", "$.classes[0].priority: *found 1.5"),
                change("\"priority\":1", "\"priority\":1e99999999", "$.classes[0].priority: *"),
                change("\"patient\":false", "\"patient\":0", "$.classes[0].patient: *true or *0"),
                change(
                        "\"timeoutMillis\":9000",
                        "\"timeoutSeconds\":9",
                        "$.classes[0].timeoutSeconds: *(did you mean timeoutMillis?)*"),
                change(
                        "\"queueLimit\"",
                        "\"queue limit\":1,\"queueLimit\"",
                        "$.policies[0][\"queue limit\"]: expected no such field, found 1"),
                change("\"naive\"", "\"best\"", "$.policies[0].router: *reserve-first, naive*"),
                change("\"name\":\"s2\"", "\"name\":\"s1\"", "$.servers[1].name: *before*\"s1\""),
                change(
                        "\"region\"",
                        "\"name\":\"x\",\"region\"",
                        "$.name: expected each key once*"),
                change("\"zone\":\"a\"", "\"zone\":\"b\"", "$.servers[0].zone: *a zone of*\"b\""),
                change("\"pool\":\"pre\"", "\"pool\":\"x\"", "$.servers[0].pool: *a pool of*"),
                change("\"policy\":\"p\"", "\"policy\":\"x\"", "$.deployments[0].policy: *"),
                change("\"class\":\"c\"", "\"class\":\"x\"", "$.deployments[1].routes[0].class: *"),
                change(
                        "\"prefillPool\":\"pre\"",
                        "\"prefillPool\":\"dec\"",
                        "$.deployments[0].prefillPool: expected a pool of kind prefill*"),
                change(
                        "\"pool\":\"svc\",\"routes\"",
                        "\"pool\":\"idle\",\"routes\"",
                        "$.deployments[1].pool: expected a pool with at least one server*"),
                change("/stock/reserve", "/stock", "$.deployments[1].routes[1]: *GET /stock*"),
                change("/stock/reserve", "/a/../b", "$.deployments[1].routes[1].pathPrefix: *"),
                change("/stock/reserve", "/a".repeat(90_000), "$.deployments[1].routes[1].*"),
                change("\"priority\":1", "\"priority\":01", "$: expected strict JSON*line 2 c*"),
                change("\"zones\":[", "\"zones\":" + "[".repeat(20), "$: *levels of nesting*"),
                arguments("{} x", "$: expected strict JSON, found an error at line 1 column *"),
                arguments("", "$: expected strict JSON, found an error at line 1 column *"),
                arguments("[]", "$: expected an object, found []"),
                arguments("{\"a\":\n\u0000}", "$: expected strict JSON*line 2 column *"));
    }

    static Stream<Arguments> limitsAboveServerCapacity() {
        return Stream.of(
                change(
                        "\"maximumPromptTokens\":9",
                        "\"maximumPromptTokens\":161",
                        "$.deployments[0].maximumPromptTokens: *160 tokens*prefill pool*161"),
                change(
                        "\"maximumOutputTokens\":7",
                        "\"maximumOutputTokens\":152",
                        "$.deployments[0].maximumOutputTokens: *160 tokens*decode pool*152"));
    }

    @ParameterizedTest
    @MethodSource({"invalidDocuments", "limitsAboveServerCapacity"})
    void invalidDocumentIsReportedWithPathAndExpectation(String document, String expectedPattern) {
        Either<List<ManifestProblem>, Manifest> result = read(document);

        assertThat(result.isLeft()).isTrue();
        String regex = "\\Q" + expectedPattern.replace("*", "\\E.*\\Q") + "\\E";
        assertThat(result.getLeft()).anySatisfy(p -> assertThat(p.toString()).matches(regex));
    }

    @Test
    void bytesThatAreNotUtf8AreReportedWithTheirPosition() {
        byte[] document = "{\n\"a\":\"?\"}".getBytes(StandardCharsets.UTF_8);
        document[7] = (byte) 0xff;

        assertThat(new ManifestReader().read(document).getLeft())
                .extracting(ManifestProblem::toString)
                .containsExactly(
                        "$: expected a document in UTF-8, found other bytes at line 2 column 6");
    }

    @Test
    void sizeAndNumberOfProblemsAreBounded() {
        byte[] large = " ".repeat(ManifestReader.MAXIMUM_SIZE_BYTES + 1).getBytes();
        assertThat(new ManifestReader().read(large).getLeft()).hasSize(1);
        String manyZones = "{\"name\":\"a\"},".repeat(200) + "{\"name\":\"a\"}";

        assertThat(read(VALID.replace("{\"name\":\"a\"}", manyZones)).getLeft())
                .hasSize(ManifestReader.MAXIMUM_PROBLEMS);
    }

    @Test
    void validDocumentYieldsTheModel() {
        Manifest manifest = read(VALID).get();

        assertThat(manifest.pool("pre"))
                .contains(new Pool("pre", PoolKind.PREFILL, 4, 10, 16, 8, 100, 50));
        assertThat(manifest.serversOf("dec"))
                .containsExactly(new BackendServer("s2", "dec", "a", false));
        assertThat(manifest.deployment("m"))
                .contains(new Deployment.Model("m", "p", "c", "M/1", "pre", "dec", 9, 7));
        assertThat(manifest.requestClass("nope")).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /stock, /stock",
        "GET, /stock?x=/../y, /stock",
        "GET, /stock/7, /stock",
        "GET, /stock/reserve/7, /stock/reserve",
        "GET, /stockpile, ",
        "POST, /stock, ",
        "GET, /stock/../wire-orders, ",
        "GET, /stock/%2E%2e/wire-orders, ",
        "GET, /stock/..%2Fwire-orders, ",
        "GET, /stock//reserve, ",
    })
    void longestPrefixOfWholeSegmentsWins(String method, String path, String expectedPrefix) {
        assertThat(read(VALID).get().findRoute("d", method, path).map(Route::pathPrefix))
                .isEqualTo(Optional.ofNullable(expectedPrefix));
    }

    private static Arguments change(String from, String to, String expectedPattern) {
        assertThat(VALID).contains(from);
        return arguments(VALID.replaceFirst(Pattern.quote(from), to), expectedPattern);
    }

    private static Either<List<ManifestProblem>, Manifest> read(String document) {
        return new ManifestReader().read(document.getBytes(StandardCharsets.UTF_8));
    }
}
