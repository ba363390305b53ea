package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.foxtailshed.kernel.direct.DirectRoute.WeightedService;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which route a request takes. */
class RouteTableTest {

    private final RouteTable table =
            new RouteTable(
                    3,
                    List.of(
                            route("root", "one.example", "/"),
                            route("short", "one.example", "/a/"),
                            route("long", "one.example", "/a/b/"),
                            route("other", "two.example", "/a/")),
                    Map.of(),
                    new CallerLimits(1, 1, 1, 1),
                    Optional.empty());

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
                        3,
                        List.of(
                                route("root", "one.example", "/"),
                                route("own", "one.example", "/gr\u00f6\u00dfe/"),
                                route("escaped", "one.example", "/a%2Fb/"),
                                route("percent", "one.example", "/50%/")),
                        Map.of(),
                        new CallerLimits(1, 1, 1, 1),
                        Optional.empty());

        assertThat(letters.match("one.example", path).map(DirectRoute::name)).contains(expected);
    }

    @ParameterizedTest
    @CsvSource({"0.0, x", "0.89, x", "0.91, y", "0.999, y"})
    void servicesArePickedByWeight(double random, String expected) {
        DirectRoute split =
                new DirectRoute(
                        "r",
                        "h",
                        "/",
                        Repeatability.REPEATABLE,
                        1,
                        1,
                        0,
                        0,
                        List.of(new WeightedService("x", 90), new WeightedService("y", 10)),
                        1,
                        false,
                        false);
        assertThat(split.pickService(random)).isEqualTo(expected);
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
                                        0,
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
                0,
                List.of(new WeightedService("app", 1)),
                2,
                false,
                false);
    }
}
