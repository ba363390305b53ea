package dev.foxtailshed.kernel.direct.workspace;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import java.math.BigDecimal;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which workspace a key belongs to and what a request costs its workspace. */
class WorkspaceTableTest {

    private static final BigDecimal ONE = BigDecimal.ONE;
    private static final BigDecimal TWO = BigDecimal.valueOf(2);

    private final Workspace first = workspace("first", Workspace.Unit.TOKENS);
    private final Workspace second = workspace("second", Workspace.Unit.REQUESTS);

    @Test
    void keyBelongsToTheWorkspaceThatHasIt() {
        WorkspaceTable table =
                new WorkspaceTable.Builder()
                        .add(first, List.of("k1", "k2"))
                        .add(second, List.of())
                        .build();

        assertThat(table.find(key("k2"))).contains(first);
        assertThat(table.find(key("k3"))).isEmpty();
        assertThat(table.byName()).containsOnlyKeys("first", "second");
        assertThat(table.problems()).isEmpty();
    }

    /** Otherwise a request could count for the wrong workspace. */
    @Test
    void keyOfTwoWorkspacesBelongsToNeither() {
        WorkspaceTable table =
                new WorkspaceTable.Builder()
                        .add(first, List.of("shared-key", "k1"))
                        .add(second, List.of("shared-key", "k2"))
                        .build();

        assertThat(table.find(key("shared-key"))).isEmpty();
        assertThat(table.find(key("k1"))).contains(first);
        assertThat(table.find(key("k2"))).contains(second);
        assertThat(table.problems())
                .singleElement()
                .asString()
                .startsWith("workspaces first and second: expected different keys, found sha256:")
                .doesNotContain("shared-key");
    }

    @Test
    void malformedKeyIsReportedWithoutItsText() {
        WorkspaceTable table =
                new WorkspaceTable.Builder().add(first, List.of("with space", "k1")).build();

        assertThat(table.find(key("k1"))).contains(first);
        assertThat(table.problems())
                .containsExactly(
                        "workspace first: expected keys of visible ASCII, found another one");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a b", "a\tb", "\u00e9"})
    void textThatIsNoKeyIsRejected(String text) {
        assertThat(ApiKey.parse(text)).isEmpty();
    }

    @Test
    void hugeKeyIsRejected() {
        assertThat(ApiKey.parse("k".repeat(256))).isPresent();
        assertThat(ApiKey.parse("k".repeat(257))).isEmpty();
    }

    /** Keys are secrets, but operators have to tell them apart. */
    @Test
    void textFormOfAKeyShowsNothingOfIt() {
        assertThat(key("secret")).asString().startsWith("sha256:").doesNotContain("secret");
        assertThat(key("secret")).hasToString(key("secret").toString());
        assertThat(key("secret").toString()).isNotEqualTo(key("other").toString());
    }

    @ParameterizedTest
    @CsvSource({
        "TOKENS, true, 3080",
        "TOKENS, false, 200",
        "REQUESTS, true, 1",
        "REQUESTS, false, 1"
    })
    void costFollowsTheUnit(Workspace.Unit unit, boolean hasCounts, double expected) {
        Optional<TokenCounts> counts =
                hasCounts
                        ? Optional.of(new TokenCounts(3_000, 80, OptionalLong.of(20)))
                        : Optional.empty();

        assertThat(workspace("t", unit).cost(counts)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"1, 0, 0", "1, 2, 1", "2, 0, 2", "2, 2, 3", ", 0, 0", ", 2, 3"})
    void priorityOfTheWorkspaceGoesBeforeThatOfTheRoute(
            BigDecimal workspace, BigDecimal route, int rank) {
        UrgencyRanks ranks =
                new UrgencyRanks(
                        List.of(workspace("a", ONE), workspace("b", TWO), workspace("c", ONE)),
                        List.of(BigDecimal.ZERO, TWO, TWO));

        assertThat(ranks.rank(Optional.ofNullable(workspace), route)).isEqualTo(rank);
    }

    private static ApiKey key(String text) {
        return ApiKey.parse(text).orElseThrow();
    }

    private static Workspace workspace(String name, Workspace.Unit unit) {
        return new Workspace(name, Optional.empty(), Optional.empty(), unit, 200);
    }

    private static Workspace workspace(String name, BigDecimal priority) {
        return new Workspace(
                name, Optional.of(priority), Optional.empty(), Workspace.Unit.TOKENS, 200);
    }
}
