package dev.foxtailshed.bench;

import java.io.IOException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * An experiment, selected by a sub-command.
 *
 * <p>Implementations have a public constructor without arguments and are registered in <code>
 * META-INF/services/dev.foxtailshed.bench.Command</code>.
 */
public interface Command {

    /**
     * Returns the sub-command that selects this experiment.
     *
     * @return one word without spaces
     */
    String word();

    /**
     * Returns the help text.
     *
     * @return one line
     */
    String help();

    /**
     * Declares the arguments specific to this experiment.
     *
     * @param parser the parser of this sub-command
     */
    void declare(ArgumentParser parser);

    /**
     * Runs the experiment to completion.
     *
     * @param arguments the parsed arguments
     * @return the exit code of the process, zero if the experiment ran
     * @throws IOException if a result cannot be written or the installation cannot be started
     * @throws InterruptedException if the thread is interrupted while the experiment runs
     */
    int run(Namespace arguments) throws IOException, InterruptedException;
}
