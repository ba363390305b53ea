package dev.foxtailshed.cli.internal;

import io.vavr.control.Either;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.HashMap;
import java.util.Map;
import java.util.ServiceLoader;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Parses the command line and runs the selected command.
 *
 * <p>Unknown commands and flags are rejected with exit code 2. Not thread-safe.
 */
public final class CommandLine {

    private static final String COMMAND = "command object";

    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;
    private final PollTimer timer;

    /**
     * Creates a command line.
     *
     * @param environment the environment variables
     * @param out the stream for results
     * @param err the stream for diagnostics
     * @param timer the clock and the pauses between calls
     */
    public CommandLine(
            Map<String, String> environment, PrintStream out, PrintStream err, PollTimer timer) {
        this.environment = environment;
        this.out = out;
        this.err = err;
        this.timer = timer;
    }

    /**
     * Runs one command.
     *
     * @param args the command line
     * @return the exit code of the command
     */
    public ExitCode run(String[] args) {
        ArgumentParser parser = createParser();
        try {
            return run(parser.parseArgs(args));
        } catch (HelpScreenException e) {
            return ExitCode.DONE;
        } catch (ArgumentParserException e) {
            parser.handleError(e, new PrintWriter(err, true));
            return ExitCode.BAD_USE;
        }
    }

    private ExitCode run(Namespace arguments) {
        Command command = arguments.get(COMMAND);
        try (LazyClient client = new LazyClient(arguments, environment)) {
            boolean json = Boolean.TRUE.equals(arguments.getBoolean("json"));
            return command.run(new Invocation(arguments, json, out, err, timer, client::get));
        }
    }

    private static ArgumentParser createParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("foxtailshed")
                        .build()
                        .description(
                                "Submits manifests and shows their state and the audit record.");
        Settings.declare(parser);
        Subparsers commands = parser.addSubparsers().metavar("COMMAND");
        Map<String, Subparsers> groups = new HashMap<>();
        for (Command command : ServiceLoader.load(Command.class)) {
            String[] words = command.words().split(" ");
            Subparsers parent = commands;
            if (words.length > 1) {
                parent = groups.computeIfAbsent(words[0], word -> addGroup(commands, word));
            }
            Subparser commandParser = parent.addParser(words[words.length - 1], true);
            commandParser.help(command.help()).description(command.help());
            Settings.declare(commandParser);
            command.declare(commandParser);
            commandParser.setDefault(COMMAND, command);
        }
        return parser;
    }

    private static Subparsers addGroup(Subparsers commands, String word) {
        return commands.addParser(word, true)
                .help("see " + word + " --help")
                .addSubparsers()
                .metavar("COMMAND");
    }

    /** Starts the client on first use, so that offline commands need no entry. */
    private static final class LazyClient implements AutoCloseable {
        private final Namespace arguments;
        private final Map<String, String> environment;
        private Either<Failure, EntryClient> client = Either.left(Failure.badUse("not started"));
        private boolean started;

        LazyClient(Namespace arguments, Map<String, String> environment) {
            this.arguments = arguments;
            this.environment = environment;
        }

        Either<Failure, EntryClient> get() {
            if (!started) {
                started = true;
                client = Settings.read(arguments, environment).map(EntryClient::start);
            }
            return client;
        }

        @Override
        public void close() {
            client.forEach(EntryClient::close);
        }
    }
}
