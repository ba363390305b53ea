package dev.foxtailshed.daemon.internal.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that changed settings take effect, and that unusable ones change nothing. */
class SettingsWatcherTest {

    @TempDir Path directory;
    private Path file;
    private SettingsWatcher watcher;

    @BeforeEach
    void readFirstSettings() throws IOException {
        file = directory.resolve("settings.json");
        Files.writeString(file, settings("0.2"));
        watcher = new SettingsWatcher(file, DirectSettings.parse(settings("0.2")));
        watcher.reload("test");
    }

    @Test
    void changedSettingsTakeEffect() throws IOException {
        Files.writeString(file, settings("0.3"));

        watcher.reload("test");

        assertThat(watcher.get().retryRatio()).isEqualTo(0.3);
    }

    /** A file may be read while it is being replaced. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{\"broken\"", "[]", "{}"})
    void unusableSettingsChangeNothingUntilTheFileIsWhole(String text) throws IOException {
        Files.writeString(file, text);
        watcher.reload("test");
        assertThat(watcher.get().retryRatio()).isEqualTo(0.2);

        Files.writeString(file, settings("0.3"));
        watcher.reload("test");
        assertThat(watcher.get().retryRatio()).isEqualTo(0.3);
    }

    @Test
    void removedFileChangesNothing() throws IOException {
        Files.delete(file);

        watcher.reload("test");

        assertThat(watcher.get().retryRatio()).isEqualTo(0.2);
    }

    private static String settings(String ratio) {
        return "{\"platform\":\"any\",\"instance\":\"entry-1\",\"zone\":\"a\",\"listen\":{"
                + "\"callers\":\"127.0.0.1:1\",\"readiness\":\"127.0.0.1:2\","
                + "\"control\":\"127.0.0.1:3\"},\"store\":\"127.0.0.1:4\",\"peers\":[],"
                + "\"repeatBudget\":{\"ratio\":"
                + ratio
                + ",\"reserve\":5,\"windowSeconds\":10},\"leaseMillis\":300,\"graceSeconds\":8}";
    }
}
