package dev.foxtailshed.daemon.internal.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The parsed and validated values of all settings of a role.
 *
 * <p>Example: <code>URI platform = settings.get(EntrySettings.PLATFORM);</code> Immutable and
 * thread-safe.
 */
public final class Settings {

    private final Map<String, Object> values;

    private Settings(Map<String, Object> values) {
        this.values = Map.copyOf(values);
    }

    /**
     * Reads and validates all settings; flags take precedence over environment variables.
     *
     * @param settings the settings of the role
     * @param flags returns the text of a flag, or null if it is not given
     * @param environment returns the text of an environment variable, or null if it is not set
     * @return the values
     * @throws SettingException for the first setting that is missing or invalid
     */
    public static Settings read(
            List<Setting<?>> settings,
            Function<String, String> flags,
            Function<String, String> environment) {
        Map<String, Object> values = new HashMap<>();
        for (Setting<?> setting : settings) {
            findText(setting, flags, environment)
                    .ifPresent(text -> values.put(setting.flag(), setting.parse(text)));
            if (setting.isRequired() && !values.containsKey(setting.flag())) {
                throw new SettingException(setting, "is missing: " + setting.help());
            }
        }
        return new Settings(values);
    }

    /**
     * Returns the value of a setting that is required or has a default.
     *
     * @param setting the setting
     * @param <T> the type of the value
     * @return the value
     * @throws SettingException if the setting has no value
     */
    public <T> T get(Setting<T> setting) {
        return find(setting)
                .orElseThrow(() -> new SettingException(setting, "was not declared by the role"));
    }

    /**
     * Returns the value of an optional setting.
     *
     * @param setting the setting
     * @param <T> the type of the value
     * @return the value, or empty if it was not given
     */
    @SuppressWarnings("unchecked")
    public <T> Optional<T> find(Setting<T> setting) {
        // The value under a flag was returned by the parser of the setting with that flag.
        return Optional.ofNullable((T) values.get(setting.flag()));
    }

    private static Optional<String> findText(
            Setting<?> setting,
            Function<String, String> flags,
            Function<String, String> environment) {
        return Optional.ofNullable(flags.apply(setting.flag()))
                .or(() -> Optional.ofNullable(environment.apply(setting.environmentVariable())))
                .or(setting::defaultText);
    }
}
