package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.foxtailshed.kernel.direct.DirectRoute.WeightedService;
import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which route a request takes. */
class RouteTableTest {

    private final RouteTable table =
            new RouteTable(
                    BigDecimal.valueOf(3),
                    List.of(
                            route("root", "one.example", "/"),
                            route("short", "one.example", "/a/"),
                            route("long", "one.example", "/a/b/"),
                            route("other", "two.example", "/a/")),
                    Map.of(),
                    new CallerLimits(1, 1, 1, 1),
                    Optional.empty(),
                    UnusableParts.NONE);

    @ParameterizedTest
    @CsvSource({
        "one.example, /a/b/c, long",
        "one.example, /a/b/, long",
        "one.example, /a/b, short",
        "one.example, /ab, root",
        "ONE.example:8080, /a/x, short",
        "two.example, /a/b/c, other",
        "two.example, /b/, ",
        "three.example, /a/, ",
        "one.example, /a//b/, short",
    })
    void longestPrefixOfTheHostWins(String host, String path, String expected) {
        assertThat(table.match(host, path).map(DirectRoute::name))
                .isEqualTo(Optional.ofNullable(expected));
    }

    /** Guards against a route that no request can take, as clients escape its letters. */
    @ParameterizedTest
    @CsvSource({
        "/gr\u00f6\u00dfe/x, own",
        "/gr%C3%B6%C3%9Fe/x, own",
        "/gr%c3%b6%c3%9fe/x, own",
        "/gr%C3%B6%C3%9Fe, root",
        "/grosse/x, root",
        "/gr%F6%DFe/x, root",
        "/gr%C3%B6%C3%9Fe%2Fx, root",
        "/a%2fb/x, escaped",
        "/a%2Fb/x, escaped",
        "/a/b/x, root",
        "/50%/x, percent",
        "/%zz/x, root",
    })
    void prefixWithOtherLettersMatchesItsEscapedForm(String path, String expected) {
        RouteTable letters =
                new RouteTable(
                        BigDecimal.valueOf(3),
                        List.of(
                                route("root", "one.example", "/"),
                                route("own", "one.example", "/gr\u00f6\u00dfe/"),
                                route("escaped", "one.example", "/a%2Fb/"),
                                route("percent", "one.example", "/50%/")),
                        Map.of(),
                        new CallerLimits(1, 1, 1, 1),
                        Optional.empty(),
                        UnusableParts.NONE);

        assertThat(letters.match("one.example", path).map(DirectRoute::name)).contains(expected);
    }

    @ParameterizedTest
    @CsvSource({"0.0, x", "0.89, x", "0.91, y", "0.999, y"})
    void servicesArePickedByWeight(double random, String expected) {
        DirectRoute split =
                split(
                        new WeightedService("x", BigDecimal.valueOf(90)),
                        new WeightedService("y", BigDecimal.valueOf(10)));
        assertThat(split.pickService(random)).contains(expected);
    }

    /** Guards against shares that become none or overflow; x has the first weight, y the second. */
    @ParameterizedTest
    @CsvSource({
        "0.25, 0.75, 0.24, x",
        "0.25, 0.75, 0.26, y",
        "99.5, 0.5, 0.994, x",
        "99.5, 0.5, 0.996, y",
        "9e18, 9e18, 0.49, x",
        "9e18, 9e18, 0.51, y",
        "1e400, 1e400, 0.49, x",
        "1e400, 1e400, 0.51, y",
        "1e-400, 3e-400, 0.2, x",
        "1e-400, 3e-400, 0.3, y",
        "0, 1, 0.0, y",
        "1, 0, 0.9999999999999999, x",
        "0, 5e-324, 0.0, y",
        "0, 0, 0.5, ",
        "0.0, 0, 0.0, ",
    })
    void shareIsKeptAsItIs(BigDecimal x, BigDecimal y, double random, String expected) {
        assertThat(
                        split(new WeightedService("x", x), new WeightedService("y", y))
                                .pickService(random))
                .isEqualTo(Optional.ofNullable(expected));
    }

    @Test
    void onlyServiceWithoutAWeightGetsNothing() {
        assertThat(split(new WeightedService("x", BigDecimal.ZERO)).pickService(0)).isEmpty();
    }

    @Test
    void negativeWeightIsRejected() {
        assertThatThrownBy(() -> split(new WeightedService("x", BigDecimal.valueOf(-1))))
                .hasMessageStartingWith("route r: expected no negative weight");
    }

    @Test
    void priorityRanksKeepTheOrderOfAnyNumbers() {
        List<DirectRoute> routes =
                Stream.of("2", "0", "1.5", "9007199254740993", "9007199254740992", "1.50")
                        .map(text -> prioritized(new BigDecimal(text).stripTrailingZeros()))
                        .toList();
        RouteTable priorities =
                new RouteTable(
                        BigDecimal.valueOf(1),
                        routes,
                        Map.of(),
                        new CallerLimits(1, 1, 1, 1),
                        Optional.empty(),
                        UnusableParts.NONE);

        assertThat(routes.stream().map(priorities::priorityRank)).containsExactly(2, 0, 1, 4, 3, 1);
    }

    @Test
    void onlyPriorityZeroHasRankZero() {
        DirectRoute route = prioritized(BigDecimal.ONE);
        RouteTable one =
                new RouteTable(
                        BigDecimal.valueOf(1),
                        List.of(route),
                        Map.of(),
                        new CallerLimits(1, 1, 1, 1),
                        Optional.empty(),
                        UnusableParts.NONE);

        assertThat(one.priorityRank(route)).isEqualTo(1);
    }

    private static DirectRoute prioritized(BigDecimal priority) {
        return new DirectRoute(
                "r",
                "h",
                "/",
                Repeatability.REPEATABLE,
                1,
                1,
                0,
                priority,
                List.of(new WeightedService("x", BigDecimal.ONE)),
                1,
                false,
                false);
    }

    private static DirectRoute split(WeightedService... services) {
        return new DirectRoute(
                "r",
                "h",
                "/",
                Repeatability.REPEATABLE,
                1,
                1,
                0,
                BigDecimal.ZERO,
                List.of(services),
                1,
                false,
                false);
    }

    @Test
    void routeWithoutServicesIsRejected() {
        assertThatThrownBy(
                        () ->
                                new DirectRoute(
                                        "r",
                                        "h",
                                        "/",
                                        Repeatability.REPEATABLE,
                                        1,
                                        1,
                                        0,
                                        BigDecimal.ZERO,
                                        List.of(),
                                        1,
                                        false,
                                        false))
                .hasMessage("route r: expected at least one service");
    }

    private static DirectRoute route(String name, String host, String prefix) {
        return new DirectRoute(
                name,
                host,
                prefix,
                Repeatability.REPEATABLE,
                1_000,
                100,
                0,
                BigDecimal.ZERO,
                List.of(new WeightedService("app", BigDecimal.valueOf(1))),
                2,
                false,
                false);
    }
}
