package dev.foxtailshed.daemon.internal.events;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonParser;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how events show texts that other programs wrote. */
class EventMessageTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "plain | plain",
                "two words | \"two words\"",
                "a=b | \"a=b\"",
                "a\\b c | \"a\\\\b c\"",
                "\u03c0 | \u03c0",
            })
    void textFormQuotesWhatCouldEndAField(String value, String expected) {
        assertThat(message(value)).hasToString("E1001 READY entry=" + expected);
    }

    /**
     * Guards against a name that forges a line of the log, or steers the terminal that shows it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"a\nE1003 STOPPED", "a\rb", "a\u0000", "\u001b[2J", "\u0085", "\u2028"})
    void textFormHasNoControlCharacters(String value) {
        assertThat(message(value).toString())
                .startsWith("E1001 READY entry=\"")
                .doesNotContainPattern("[\\p{Cntrl}\u0080-\u009f\u2028\u2029]");
    }

    @ParameterizedTest
    @ValueSource(strings = {"a\nb", "\u0000", "\u2028", "\ud83d\ude00", "a\"b"})
    void jsonFormHasTheTextItself(String value) {
        String line = message(value).toJson().toString();
        assertThat(line).doesNotContain("\n");
        assertThat(JsonParser.parseString(line).getAsJsonObject().get("entry").getAsString())
                .isEqualTo(value);
    }

    private static EventMessage message(String value) {
        return new EventMessage(EventCode.READY, Field.of("entry", value));
    }
}
