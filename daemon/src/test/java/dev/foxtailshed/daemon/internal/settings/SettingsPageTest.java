package dev.foxtailshed.daemon.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.daemon.internal.events.LogSettings;
import dev.foxtailshed.daemon.internal.role.Role;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.ServiceLoader;
import org.junit.jupiter.api.Test;

/** Tests that docs/SETTINGS.md lists the settings that the roles declare. */
class SettingsPageTest {

    @Test
    void pageListsEverySettingAndNoOther() throws IOException {
        List<String> page =
                Files.readAllLines(Path.of("..", "docs", "SETTINGS.md")).stream()
                        .filter(line -> line.startsWith("| ") && line.contains("`--"))
                        .toList();
        assertThat(page).containsExactlyElementsOf(rows());
    }

    private static List<String> rows() {
        List<String> rows = new ArrayList<>();
        ServiceLoader.load(Role.class).stream()
                .map(ServiceLoader.Provider::get)
                .sorted(Comparator.comparing(Role::name))
                .forEach(role -> role.settings().forEach(s -> rows.add(row(role.name(), s))));
        LogSettings.SETTINGS.forEach(setting -> rows.add(row("all", setting)));
        return rows;
    }

    private static String row(String role, Setting<?> setting) {
        String fallback = setting.defaultText().orElse(setting.isRequired() ? "required" : "none");
        return String.format(
                "| %s | `%s` | `%s` | %s | %s |",
                role,
                setting.flag(),
                setting.environmentVariable(),
                fallback.isEmpty() ? "empty" : fallback,
                setting.help());
    }
}
