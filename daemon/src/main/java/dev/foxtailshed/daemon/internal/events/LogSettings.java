package dev.foxtailshed.daemon.internal.events;

import dev.foxtailshed.daemon.internal.settings.Setting;
import dev.foxtailshed.daemon.internal.settings.SettingParsers;
import dev.foxtailshed.daemon.internal.settings.Settings;
import java.util.List;
import org.tinylog.configuration.Configuration;

/** Settings of the log, which must be applied before the first line is written. */
public final class LogSettings {

    /** The format of log lines: text on standard error or JSON on standard output. */
    public static final Setting<String> FORMAT =
            Setting.withDefault(
                    "--log-format",
                    "format of log lines: text or json",
                    "text",
                    SettingParsers.oneOf("text", "json"));

    /** The lowest severity that is written. */
    public static final Setting<String> LEVEL =
            Setting.withDefault(
                    "--log-level",
                    "lowest severity written: info, warn or error",
                    "info",
                    SettingParsers.oneOf("info", "warn", "error"));

    /** All settings of the log. */
    public static final List<Setting<?>> SETTINGS = List.of(FORMAT, LEVEL);

    private LogSettings() {}

    /**
     * Configures tinylog.
     *
     * @param settings the settings of the process
     */
    public static void apply(Settings settings) {
        Configuration.set("level", settings.get(LEVEL));
        Configuration.set("level@org.eclipse.jetty", "warn");
        if (settings.get(FORMAT).equals("json")) {
            Configuration.set("writer", "json console");
            EventMessage.useJsonLines(true);
        } else {
            Configuration.set("writer", "console");
            Configuration.set("writer.stream", "err");
            Configuration.set(
                    "writer.format", "{date: yyyy-MM-dd'T'HH:mm:ss.SSSXXX} {level} {message}");
        }
        Configuration.set("autoshutdown", "false");
    }
}
