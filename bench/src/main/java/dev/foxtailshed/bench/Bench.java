package dev.foxtailshed.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Runs the experiments, each a {@link Command} loaded by {@link ServiceLoader}.
 *
 * <p>Example: <code>java -jar foxtailshed-bench-0.1.0-all.jar load --out results</code>. Exit
 * codes: 0 the experiment ran, 1 it failed, 2 invalid usage.
 */
public final class Bench {

    static final int FAILED = 1;
    static final int BAD_USE = 2;
    private static final String COMMAND = "command";

    private final List<Command> commands;
    private final PrintWriter err;

    Bench(Iterable<Command> commands, PrintWriter err) {
        this.commands = List.copyOf(toList(commands));
        this.err = err;
    }

    int run(String... args) throws InterruptedException {
        ArgumentParser parser =
                ArgumentParsers.newFor("foxtailshed-bench")
                        .build()
                        .defaultHelp(true)
                        .description("Load experiments and measurements.");
        Subparsers subparsers = parser.addSubparsers().metavar("COMMAND");
        for (Command command : commands) {
            ArgumentParser commandParser =
                    subparsers.addParser(command.word()).help(command.help());
            commandParser.setDefault(COMMAND, command);
            command.declare(commandParser);
        }
        try {
            Namespace arguments = parser.parseArgs(args);
            return arguments.<Command>get(COMMAND).run(arguments);
        } catch (ArgumentParserException e) {
            parser.handleError(e, err);
            return BAD_USE;
        } catch (IOException e) {
            err.println("the experiment failed: " + e.getMessage());
            return FAILED;
        } finally {
            err.flush();
        }
    }

    private static List<Command> toList(Iterable<Command> commands) {
        List<Command> list = new ArrayList<>();
        commands.forEach(list::add);
        return list;
    }

    /**
     * Runs the experiment named on the command line and exits with its exit code.
     *
     * @param args the command line
     * @throws InterruptedException if the experiment is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        PrintWriter err = new PrintWriter(System.err, true);
        System.exit(new Bench(ServiceLoader.load(Command.class), err).run(args));
    }
}
