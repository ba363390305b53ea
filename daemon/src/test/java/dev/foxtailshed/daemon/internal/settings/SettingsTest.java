package dev.foxtailshed.daemon.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the precedence of sources, the validation of values and the error messages. */
class SettingsTest {

    private static final Setting<String> ZONE =
            Setting.required("--zone", "the zone", SettingParsers::name);
    private static final Setting<Long> LEASE =
            Setting.withDefault(
                    "--lease-millis", "the lease", "2000", SettingParsers.wholeNumber(50, 9_000));

    @Test
    void flagOverridesEnvironmentAndEnvironmentOverridesDefault() {
        Settings settings =
                Settings.read(
                        List.of(ZONE, LEASE),
                        Map.of("--zone", "a")::get,
                        Map.of("FOXTAILSHED_ZONE", "b", "FOXTAILSHED_LEASE_MILLIS", "70")::get);
        assertThat(settings.get(ZONE)).isEqualTo("a");
        assertThat(settings.get(LEASE)).isEqualTo(70);
    }

    @Test
    void errorForMissingSettingNamesFlagAndVariable() {
        assertThatThrownBy(() -> Settings.read(List.of(ZONE), flag -> null, name -> null))
                .isInstanceOf(SettingException.class)
                .hasMessageContaining("--zone (FOXTAILSHED_ZONE)");
    }

    @ParameterizedTest
    @CsvSource({"--lease-millis,49", "--lease-millis,9001", "--lease-millis,2s", "--zone,Zone A"})
    void errorForInvalidValueNamesFlagAndText(String flag, String text) {
        Map<String, String> flags =
                flag.equals("--zone") ? Map.of(flag, text) : Map.of("--zone", "a", flag, text);
        assertThatThrownBy(() -> Settings.read(List.of(ZONE, LEASE), flags::get, name -> null))
                .isInstanceOf(SettingException.class)
                .hasMessageContaining(flag)
                .hasMessageContaining("expected")
                .hasMessageContaining(text);
    }

    @ParameterizedTest
    @CsvSource({"localhost:80", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000", ":80"})
    void addressWithoutIpOrValidPortIsRejected(String text) {
        assertThatThrownBy(() -> SettingParsers.address(text))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("IP:PORT");
    }
}
