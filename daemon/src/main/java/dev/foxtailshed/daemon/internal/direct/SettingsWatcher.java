package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.TimerService;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Reloads the settings file when it changes or on request.
 *
 * <p>An invalid file is rejected as a whole, and the last valid settings stay in use. Changed
 * listen addresses take effect only after a restart. Thread-safe.
 */
final class SettingsWatcher {

    /** Polling period of the file; a change without a signal takes effect within this time. */
    private static final long POLL_MILLIS = 1_000;

    private final Path file;
    private final AtomicReference<DirectSettings> settings;
    private final AtomicReference<String> lastText = new AtomicReference<>("");

    SettingsWatcher(Path file, DirectSettings initialSettings) {
        this.file = file;
        this.settings = new AtomicReference<>(initialSettings);
    }

    void start(TimerService timer) {
        lastText.set(readText());
        timer.every(POLL_MILLIS, () -> reload("poll"));
    }

    DirectSettings get() {
        return settings.get();
    }

    /** Reloads the file if its text has changed. */
    synchronized void reload(String cause) {
        String text = readText();
        if (text.equals(lastText.getAndSet(text))) {
            return;
        }
        try {
            settings.set(DirectSettings.parse(text));
            EventLog.log(
                    EventCode.SETTINGS_RELOADED, Field.of("file", file), Field.of("cause", cause));
        } catch (IllegalArgumentException e) {
            EventLog.log(
                    EventCode.SETTINGS_REJECTED,
                    Field.of("file", file),
                    Field.of("cause", e.getMessage()));
        }
    }

    private String readText() {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            // Not valid JSON, so the settings stay and the failure is logged once.
            return "unreadable: " + e;
        }
    }
}
