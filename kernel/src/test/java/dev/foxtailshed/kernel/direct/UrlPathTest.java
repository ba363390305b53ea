package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which paths are the same, and that different ones stay different. */
class UrlPathTest {

    /** Guards against a route that no request can take, as clients escape its letters. */
    @ParameterizedTest
    @CsvSource({
        "/a/b, /a/b",
        "/gr\u00f6\u00dfe/, /gr%C3%B6%C3%9Fe/",
        "/gr%c3%b6%C3%9fe/, /gr%C3%B6%C3%9Fe/",
        "/\ud83d\ude00/, /%F0%9F%98%80/",
        "/a b/, /a%20b/",
        "/a%2fb/, /a%2Fb/",
        "/%41/, /%41/",
        "/50%/, /50%/",
        "/%zz/, /%zz/",
        "/%4, /%4",
        "//a/../b;c=d, //a/../b;c=d",
    })
    void pathHasOneForm(String path, String expected) {
        assertThat(UrlPath.normalize(path)).isEqualTo(expected);
        assertThat(UrlPath.normalize(expected)).isEqualTo(expected);
    }
}
