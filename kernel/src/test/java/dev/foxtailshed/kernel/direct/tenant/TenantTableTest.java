package dev.foxtailshed.kernel.direct.tenant;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which tenant a key belongs to and what a request costs its tenant. */
class TenantTableTest {

    private final Tenant first = tenant("first", Tenant.Unit.TOKENS);
    private final Tenant second = tenant("second", Tenant.Unit.REQUESTS);

    @Test
    void keyBelongsToTheTenantThatHasIt() {
        TenantTable table =
                new TenantTable.Builder()
                        .add(first, List.of("k1", "k2"))
                        .add(second, List.of())
                        .build();

        assertThat(table.find(key("k2"))).contains(first);
        assertThat(table.find(key("k3"))).isEmpty();
        assertThat(table.byName()).containsOnlyKeys("first", "second");
        assertThat(table.problems()).isEmpty();
    }

    /** Otherwise a request could count for the wrong tenant. */
    @Test
    void keyOfTwoTenantsBelongsToNeither() {
        TenantTable table =
                new TenantTable.Builder()
                        .add(first, List.of("shared-key", "k1"))
                        .add(second, List.of("shared-key", "k2"))
                        .build();

        assertThat(table.find(key("shared-key"))).isEmpty();
        assertThat(table.find(key("k1"))).contains(first);
        assertThat(table.find(key("k2"))).contains(second);
        assertThat(table.problems())
                .singleElement()
                .asString()
                .startsWith("tenants first and second: expected different keys, found sha256:")
                .doesNotContain("shared-key");
    }

    @Test
    void malformedKeyIsReportedWithoutItsText() {
        TenantTable table =
                new TenantTable.Builder().add(first, List.of("with space", "k1")).build();

        assertThat(table.find(key("k1"))).contains(first);
        assertThat(table.problems())
                .containsExactly("tenant first: expected keys of visible ASCII, found another one");
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
    void costFollowsTheUnit(Tenant.Unit unit, boolean hasCounts, double expected) {
        Optional<TokenCounts> counts =
                hasCounts
                        ? Optional.of(new TokenCounts(3_000, 80, OptionalLong.of(20)))
                        : Optional.empty();

        assertThat(tenant("t", unit).cost(counts)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"1, 0, 0", "1, 2, 1", "2, 0, 2", "2, 2, 3", ", 0, 0", ", 2, 3"})
    void priorityOfTheTenantGoesBeforeThatOfTheRoute(Integer tenant, int route, int rank) {
        UrgencyRanks ranks =
                new UrgencyRanks(
                        List.of(tenant("a", 1), tenant("b", 2), tenant("c", 1)), List.of(0, 2, 2));
        OptionalInt tenantPriority = tenant == null ? OptionalInt.empty() : OptionalInt.of(tenant);

        assertThat(ranks.rank(tenantPriority, route)).isEqualTo(rank);
    }

    private static ApiKey key(String text) {
        return ApiKey.parse(text).orElseThrow();
    }

    private static Tenant tenant(String name, Tenant.Unit unit) {
        return new Tenant(name, OptionalInt.empty(), Optional.empty(), unit, 200);
    }

    private static Tenant tenant(String name, int priority) {
        return new Tenant(
                name, OptionalInt.of(priority), Optional.empty(), Tenant.Unit.TOKENS, 200);
    }
}
