package dev.foxtailshed.daemon.internal.role;

import dev.foxtailshed.daemon.internal.settings.Setting;
import dev.foxtailshed.daemon.internal.settings.Settings;
import java.io.IOException;
import java.util.List;

/**
 * A role that the daemon can run; implementations are found by {@link java.util.ServiceLoader}.
 *
 * <p>An implementation needs a public constructor without arguments and holds no state.
 */
public interface Role {

    /**
     * Returns the word on the command line.
     *
     * @return the name
     */
    String name();

    /**
     * Returns one phrase for the help text.
     *
     * @return the phrase
     */
    String summary();

    /**
     * Returns the settings of the role.
     *
     * @return the settings in the order of the help text
     */
    List<Setting<?>> settings();

    /**
     * Starts the role.
     *
     * @param settings the checked settings
     * @return the running role
     * @throws IOException if an address cannot be bound
     */
    RunningRole start(Settings settings) throws IOException;

    /**
     * Tells whether the role reads its settings again at SIGHUP.
     *
     * @return true if the signal must not end the process, not even during the start
     */
    default boolean reloadsSettings() {
        return false;
    }
}
