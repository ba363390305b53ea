package dev.foxtailshed.daemon.internal.role;

import dev.foxtailshed.daemon.internal.settings.Setting;
import dev.foxtailshed.daemon.internal.settings.Settings;
import java.io.IOException;
import java.util.List;

/**
 * A role that the daemon can run, such as entry or sidecar.
 *
 * <p>Implementations are loaded by {@link java.util.ServiceLoader}; they have a public constructor
 * without arguments and hold no state.
 */
public interface Role {

    /**
     * Returns the name of the role on the command line.
     *
     * @return one word
     */
    String name();

    /**
     * Returns the description of the role for the help text.
     *
     * @return one phrase
     */
    String summary();

    /**
     * Returns the settings of the role.
     *
     * @return the settings, in the order in which the help text lists them
     */
    List<Setting<?>> settings();

    /**
     * Starts the role.
     *
     * @param settings the validated settings
     * @return the running role
     * @throws IOException if an address cannot be bound
     */
    RunningRole start(Settings settings) throws IOException;

    /**
     * Returns whether the role reloads its settings at SIGHUP.
     *
     * @return true if the signal must not end the process, not even while the role starts
     */
    default boolean reloadsSettings() {
        return false;
    }
}
