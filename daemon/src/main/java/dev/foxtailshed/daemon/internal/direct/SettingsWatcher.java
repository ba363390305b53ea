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
 * Reads the settings file again when it changes or on request.
 *
 * <p>A bad file is refused as a whole and the last good settings stay. Addresses that this process
 * listens on hold until its next start. Thread-safe.
 */
final class SettingsWatcher {

    /** How often the file is compared; a change without a signal is in force after this. */
    private static final long POLL_MILLIS = 1_000;

    private final Path file;
    private final AtomicReference<DirectSettings> settings;
    private final AtomicReference<String> lastText = new AtomicReference<>("");

    SettingsWatcher(Path file, DirectSettings first) {
        this.file = file;
        this.settings = new AtomicReference<>(first);
    }

    void start(TimerService timer) {
        lastText.set(readText());
        timer.every(POLL_MILLIS, () -> reload("poll"));
    }

    DirectSettings get() {
        return settings.get();
    }

    /** Reads the file if its text has changed. */
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
            // Parsed as a bad file, so that the loss is logged once and the settings stay.
            return "unreadable: " + e;
        }
    }
}
