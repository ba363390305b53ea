package dev.foxtailshed.daemon.internal.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a settings file is read completely or rejected with the path of the error. */
class DirectSettingsTest {

    private static final Path REHEARSAL = Path.of("..", "deploy", "rehearsal.json");

    @Test
    void parsesSettingsInTheirUnits() {
        DirectSettings settings = DirectSettings.read(REHEARSAL);
        assertThat(settings.platform()).isEqualTo("fleet");
        assertThat(settings.retryWindowMillis()).isEqualTo(10_000);
        assertThat(settings.graceMillis()).isEqualTo(1_000);
        assertThat(settings.storeAddress().getPort()).isEqualTo(9);
    }

    @Test
    void ignoresUnknownFields() throws IOException {
        String text = Files.readString(REHEARSAL).replaceFirst("\\{", "{\"later\": [1],");
        assertThat(DirectSettings.parse(text)).isEqualTo(DirectSettings.read(REHEARSAL));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"rehearsal\" | 5 | instance: expected a string, found 5",
                "\"callers\": \"127.0.0.1:0\" | \"callers\": \"x\" "
                        + "| listen.callers: expected IP:PORT, found \"x\"",
                "\"store\" | \"shop\" | store: expected IP:PORT, found nothing",
                "0.2 | -1 | repeatBudget.ratio: expected a number of at least 0, found -1",
                "3000 | 1.5 | leaseMillis: expected an integer of at least 1, found 1.5",
                "[] | [1] | peers: expected an array of strings, found [1]",
            })
    void rejectsInvalidFieldsWithTheirPath(String good, String bad, String message)
            throws IOException {
        String text = Files.readString(REHEARSAL).replace(good, bad);
        assertThatThrownBy(() -> DirectSettings.parse(text)).hasMessage(message);
    }

    @Test
    void reportsMissingFile() {
        assertThatThrownBy(() -> DirectSettings.read(Path.of("none.json")))
                .hasMessageStartingWith("settings file none.json cannot be read: ");
    }
}
