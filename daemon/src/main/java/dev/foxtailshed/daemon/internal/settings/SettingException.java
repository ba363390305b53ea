package dev.foxtailshed.daemon.internal.settings;

/**
 * Thrown if a setting is missing or invalid.
 *
 * <p>The message names the flag and the environment variable.
 */
public final class SettingException extends RuntimeException {

    /**
     * Creates the exception.
     *
     * @param setting the missing or invalid setting
     * @param problem the end of the message, such as "is missing"
     */
    public SettingException(Setting<?> setting, String problem) {
        super(setting.flag() + " (" + setting.environmentVariable() + "): " + problem);
    }
}
