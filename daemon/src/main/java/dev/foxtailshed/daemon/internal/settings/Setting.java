package dev.foxtailshed.daemon.internal.settings;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * A setting that is read from a flag or else from an environment variable.
 *
 * <p>Example: <code>
 * Setting.required("--zone", "availability zone of this instance", SettingParsers::name)</code> is
 * read from <code>--zone</code> or <code>FOXTAILSHED_ZONE</code>. Immutable and thread-safe.
 *
 * @param <T> the type of the value
 */
public final class Setting<T> {

    private static final String ENVIRONMENT_PREFIX = "FOXTAILSHED_";

    private final String flag;
    private final String help;
    private final Optional<String> defaultText;
    private final boolean optional;
    private final Function<String, T> parser;

    private Setting(
            String flag,
            String help,
            Optional<String> defaultText,
            boolean optional,
            Function<String, T> parser) {
        this.flag = Objects.requireNonNull(flag, "flag");
        this.help = Objects.requireNonNull(help, "help");
        this.defaultText = defaultText;
        this.optional = optional;
        this.parser = Objects.requireNonNull(parser, "parser");
    }

    /**
     * Creates a setting without a default that must be given.
     *
     * @param flag the flag, including the two leading hyphens
     * @param help one phrase for the help text
     * @param parser converts the text to a value; throws IllegalArgumentException if the text is
     *     invalid
     * @param <T> the type of the value
     * @return the setting
     */
    public static <T> Setting<T> required(String flag, String help, Function<String, T> parser) {
        return new Setting<>(flag, help, Optional.empty(), false, parser);
    }

    /**
     * Creates a setting without a default that may be omitted.
     *
     * @param flag the flag, including the two leading hyphens
     * @param help one phrase for the help text
     * @param parser converts the text to a value; throws IllegalArgumentException if the text is
     *     invalid
     * @param <T> the type of the value
     * @return the setting
     */
    public static <T> Setting<T> optional(String flag, String help, Function<String, T> parser) {
        return new Setting<>(flag, help, Optional.empty(), true, parser);
    }

    /**
     * Creates a setting with a default.
     *
     * @param flag the flag, including the two leading hyphens
     * @param help one phrase for the help text
     * @param defaultText the text that is parsed if the setting is not given
     * @param parser converts the text to a value; throws IllegalArgumentException if the text is
     *     invalid
     * @param <T> the type of the value
     * @return the setting
     */
    public static <T> Setting<T> withDefault(
            String flag, String help, String defaultText, Function<String, T> parser) {
        return new Setting<>(flag, help, Optional.of(defaultText), false, parser);
    }

    /**
     * Returns the flag.
     *
     * @return the flag, including the two leading hyphens
     */
    public String flag() {
        return flag;
    }

    /**
     * Returns the name of the environment variable that is read if the flag is not given.
     *
     * @return the name, derived from the flag
     */
    public String environmentVariable() {
        return ENVIRONMENT_PREFIX + flag.substring(2).replace('-', '_').toUpperCase();
    }

    /**
     * Returns the description for the help text.
     *
     * @return one phrase
     */
    public String help() {
        return help;
    }

    /**
     * Returns the text that is parsed if the setting is not given.
     *
     * @return the text, or empty for a setting without a default
     */
    public Optional<String> defaultText() {
        return defaultText;
    }

    /**
     * Returns whether the setting must be given.
     *
     * @return true if it has no default and is not optional
     */
    public boolean isRequired() {
        return !optional && defaultText.isEmpty();
    }

    /**
     * Parses the text of a flag or environment variable.
     *
     * @param text the text as given
     * @return the value
     * @throws SettingException if the text is not a valid value of this setting
     */
    public T parse(String text) {
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            throw new SettingException(this, e.getMessage());
        }
    }
}
