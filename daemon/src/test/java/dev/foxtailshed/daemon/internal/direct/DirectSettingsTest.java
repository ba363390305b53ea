package dev.foxtailshed.daemon.internal.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a settings file is read whole or refused with the place of its error. */
class DirectSettingsTest {

    private static final Path REHEARSAL = Path.of("..", "deploy", "rehearsal.json");

    @Test
    void settingsAreReadInTheirUnits() {
        DirectSettings settings = DirectSettings.read(REHEARSAL);
        assertThat(settings.platform()).isEqualTo("fleet");
        assertThat(settings.repeatWindowMillis()).isEqualTo(10_000);
        assertThat(settings.graceMillis()).isEqualTo(1_000);
        assertThat(settings.storeAddress().getPort()).isEqualTo(9);
    }

    @Test
    void unknownFieldsAreIgnored() throws IOException {
        String text = Files.readString(REHEARSAL).replaceFirst("\\{", "{\"later\": [1],");
        assertThat(DirectSettings.parse(text)).isEqualTo(DirectSettings.read(REHEARSAL));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"rehearsal\" | 5 | instance: expected a text, found 5",
                "\"callers\": \"127.0.0.1:0\" | \"callers\": \"x\" "
                        + "| listen.callers: expected IP:PORT, found \"x\"",
                "\"store\" | \"shop\" | store: expected IP:PORT, found nothing",
                "0.2 | -1 | repeatBudget.ratio: expected a number from 0, found -1",
                "3000 | 1.5 | leaseMillis: expected a whole number from 1, found 1.5",
                "[] | [1] | peers: expected a list of texts, found [1]",
            })
    void badFieldsAreRefusedWithTheirPlace(String good, String bad, String message)
            throws IOException {
        String text = Files.readString(REHEARSAL).replace(good, bad);
        assertThatThrownBy(() -> DirectSettings.parse(text)).hasMessage(message);
    }

    @Test
    void missingFileIsSaidSo() {
        assertThatThrownBy(() -> DirectSettings.read(Path.of("none.json")))
                .hasMessageStartingWith("settings file none.json cannot be read: ");
    }
}
