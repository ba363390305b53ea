package dev.foxtailshed.daemon.hosting;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonElement;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which numbers of other programs are read, and as which values. */
class JsonFieldsTest {

    private static final long SEED = 61;

    /** Guards against numbers that are refused, or become others, for the way they are written. */
    @ParameterizedTest
    @CsvSource({
        // text, limit, milliseconds, milliseconds of seconds
        "0, 0, 0, 0",
        "-0, 0, 0, 0",
        "0.5, 0, 1, 500",
        "2.0, 2, 2, 2000",
        "5e0, 5, 5, 5000",
        "14999.5, 14999, 15000, 14999500",
        "0.0004, 0, 1, 1",
        "1e-400, 0, 1, 1",
        "2147483648, 2147483648, 2147483648, 2147483648000",
        "9007199254740991, 9007199254740991, 9007199254740991, 9007199254740992",
        "9007199254740993, 9007199254740992, 9007199254740992, 9007199254740992",
        "9223372036854775808, 9007199254740992, 9007199254740992, 9007199254740992",
        "1e19, 9007199254740992, 9007199254740992, 9007199254740992",
        "1e400, 9007199254740992, 9007199254740992, 9007199254740992",
    })
    void limitsAndDurationsKeepTheirEffect(String text, long limit, long millis, long ofSeconds) {
        JsonFields fields = fields(text);
        assertThat(fields.getLimit("f", 0)).isEqualTo(limit);
        assertThat(fields.getMillis("f", 0)).isEqualTo(millis);
        assertThat(fields.getSecondsAsMillis("f")).isEqualTo(ofSeconds);
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "0.5", "99.5", "1e19", "9007199254740993", "1e-400", "0.1"})
    void decimalsKeepAllDigits(String text) {
        assertThat(fields(text).getDecimal("f")).isEqualByComparingTo(new BigDecimal(text));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"-1", "-0.5", "null", "\"5\"", "true", "[1]", "{}", "1e999999999", "NaN"})
    void whatIsNoNumberIsRefusedByName(String text) {
        JsonFields fields = fields(text);
        assertThatThrownBy(() -> fields.getLimit("f", 0))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageStartingWith("f: expected a number of at least 0, found ");
        assertThatThrownBy(() -> fields.getMillis("f", 0)).hasMessageStartingWith("f: expected");
        assertThatThrownBy(() -> fields.getSecondsAsMillis("f"))
                .hasMessageStartingWith("f: expected");
        assertThatThrownBy(() -> fields.getDecimal("f")).hasMessageStartingWith("f: expected");
    }

    @ParameterizedTest
    @CsvSource({"0", "0.5", "0.999"})
    void limitBelowItsMinimumIsRefused(String text) {
        assertThatThrownBy(() -> fields(text).getLimit("f", 1))
                .hasMessage("f: expected a number of at least 1, found " + text);
    }

    /** Guards against neighbours that become one number, and integers refused for their form. */
    @ParameterizedTest
    @CsvSource({
        "0, 0",
        "-0, 0",
        "-5, -5",
        "2.0, 2",
        "5e0, 5",
        "50e-1, 5",
        "1e3, 1000",
        "9007199254740992, 9007199254740992",
        "9007199254740993, 9007199254740993",
        "1796688000000000000, 1796688000000000000",
        "1796688000000000001, 1796688000000000001",
        "9223372036854775807, 9223372036854775807",
    })
    void integersKeepTheirDigits(String text, long expected) {
        assertThat(fields(text).getLong("f", Long.MIN_VALUE)).isEqualTo(expected);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "-1",
                "0.5",
                "9223372036854775808",
                "1e19",
                "1e400",
                "1e999999999",
                "1e-999999999",
                "null",
                "\"5\"",
                "[5]"
            })
    void whatIsNoIntegerIsRefusedByName(String text) {
        assertThatThrownBy(() -> fields(text).getLong("f", 0))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageStartingWith("f: expected an integer of at least 0, found ");
    }

    /** Guards against numbers that change when an entry hands what it has read to another one. */
    @Test
    void numberThatIsReadAndWrittenAgainIsTheSame() {
        Random random = new Random(SEED);
        for (int i = 0; i < 1_000; i++) {
            String digits = new BigInteger(1 + random.nextInt(120), random).toString();
            String text = random.nextBoolean() ? digits : digits + "." + random.nextInt(1_000);
            JsonElement read = BoundedJson.parse("{\"f\":" + text + "}");
            JsonElement again = BoundedJson.parse(JsonBytes.write(read));
            assertThat(JsonFields.of("", again).getDecimal("f"))
                    .isEqualTo(JsonFields.of("", read).getDecimal("f"))
                    .isEqualByComparingTo(new BigDecimal(text));
            assertThat(again).hasToString(read.toString());
        }
    }

    private static JsonFields fields(String value) {
        return JsonFields.of("", BoundedJson.parse("{\"f\":" + value + "}"));
    }
}
