package dev.foxtailshed.cli.internal;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.function.Function;
import java.util.function.Supplier;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The arguments, streams and client of one command. Not thread-safe.
 *
 * @param arguments the arguments of the command line
 * @param json whether results are printed as JSON
 * @param out the stream for results
 * @param err the stream for diagnostics
 * @param timer the clock and the pauses between calls
 * @param client starts the client of the entries on first use; fails if its settings are invalid
 */
record Invocation(
        Namespace arguments,
        boolean json,
        PrintStream out,
        PrintStream err,
        PollTimer timer,
        Supplier<Either<Failure, EntryClient>> client) {

    private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

    /** Prints a result as JSON, or the text if {@code --json} is not set. */
    void print(Object result, Supplier<String> text) {
        out.println(json ? GSON.toJson(result) : text.get().stripTrailing());
    }

    /** Prints a diagnostic message to the error stream. */
    void printMessage(String text) {
        err.println("foxtailshed: " + Table.toPrintable(text));
    }

    /** Prints the message of a failure and returns its exit code. */
    ExitCode fail(Failure failure) {
        printMessage(failure.message());
        return failure.exitCode();
    }

    /** Runs an action with the client, or fails if the client cannot be created. */
    ExitCode withClient(Function<EntryClient, ExitCode> action) {
        return client.get().fold(this::fail, action);
    }

    /** Fetches a JSON response and passes it to an action. */
    <T> ExitCode fetch(String pathAndQuery, Class<T> type, Function<T, ExitCode> action) {
        return withClient(c -> c.get(pathAndQuery, type).fold(this::fail, action));
    }

    /** Reads a local file; a file that cannot be read is invalid usage. */
    Either<Failure, byte[]> readFile(String name) {
        try {
            return Either.right(Files.readAllBytes(Path.of(name)));
        } catch (IOException | InvalidPathException e) {
            return Either.left(Failure.badUse("cannot read the file " + name + ": " + e));
        }
    }
}
