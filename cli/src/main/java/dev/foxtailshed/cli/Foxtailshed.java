package dev.foxtailshed.cli;

import dev.foxtailshed.cli.internal.CommandLine;
import dev.foxtailshed.cli.internal.PollTimer;
import java.io.PrintStream;
import java.util.Map;

/**
 * The command-line tool for operators.
 *
 * <p>Example: <code>foxtailshed --entry http://10.0.0.5:8080 manifest submit site.json</code>. Exit
 * codes: 0 success, 1 a check failed, 2 invalid usage or invalid manifest, 3 conflict, 4 not
 * reachable, 5 outcome unknown.
 */
public final class Foxtailshed {

    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;
    private final PollTimer timer;

    /**
     * Creates the tool.
     *
     * @param environment the environment variables
     * @param out the stream for results
     * @param err the stream for diagnostics
     * @param timer the clock and the pauses between calls
     */
    public Foxtailshed(
            Map<String, String> environment, PrintStream out, PrintStream err, PollTimer timer) {
        this.environment = Map.copyOf(environment);
        this.out = out;
        this.err = err;
        this.timer = timer;
    }

    /**
     * Runs one command.
     *
     * @param args the command line
     * @return the exit code of the process
     */
    public int run(String... args) {
        return new CommandLine(environment, out, err, timer).run(args).number();
    }

    /**
     * Runs the tool and exits with its exit code.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        PollTimer timer = PollTimer.ofSystem();
        System.exit(new Foxtailshed(System.getenv(), System.out, System.err, timer).run(args));
    }
}
