package dev.foxtailshed.daemon.hosting;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that one deeply nested field does not hide the rest of a document. */
class BoundedJsonTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "[]",
                "{}",
                "\"text\"",
                "{\"a\":[1,2.5,-3e4,{\"b\":true,\"c\":null}],\"d\":\"\\u00e9\\n\"}",
                "[123456789012345678901234567890,1e400]",
                "[[[[[[[[\"eight levels\"]]]]]]]]"
            })
    void documentOfUsualDepthIsReadAsByGson(String text) {
        assertThat(BoundedJson.parse(text)).isEqualTo(JsonParser.parseString(text));
    }

    /** Guards against a field, nested as deep as its writer likes, that hides all other fields. */
    @ParameterizedTest
    @ValueSource(ints = {64, 300, 100_000, 400_000})
    void fieldsBesideDeeplyNestedOneAreRead(int depth) {
        String arrays = "[".repeat(depth) + "]".repeat(depth);
        String objects = "{\"o\":".repeat(depth) + "1" + "}".repeat(depth);

        JsonElement root =
                BoundedJson.parse(
                        "{\"before\":1,\"arrays\":"
                                + arrays
                                + ",\"objects\":"
                                + objects
                                + ",\"after\":2}");

        JsonFields fields = JsonFields.of("", root);
        assertThat(fields.getLong("before", 0)).isEqualTo(1);
        assertThat(fields.getLong("after", 0)).isEqualTo(2);
        assertThat(root.toString()).hasSizeLessThan(1_000);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[1,", "{\"a\"}", "[] []", "\"open"})
    void malformedDocumentIsRejected(String text) {
        assertThatThrownBy(() -> BoundedJson.parse(text))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
