package dev.foxtailshed.cli.internal;

import dev.foxtailshed.kernel.manifest.ManifestDiff;
import dev.foxtailshed.kernel.manifest.ManifestDiff.Change;
import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Prints the differences between two manifests, each a stored version or a local file. */
public final class DiffCommand implements Command {

    @Override
    public String words() {
        return "manifest diff";
    }

    @Override
    public String help() {
        return "show the differences between two manifests";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("before").metavar("A").help("a version or a file");
        parser.addArgument("after").metavar("B").help("a version or a file");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        Either<Failure, byte[]> before = load(invocation, "before");
        if (before.isLeft()) {
            return invocation.fail(before.getLeft());
        }
        return load(invocation, "after")
                .fold(invocation::fail, after -> compare(invocation, before.get(), after));
    }

    private static Either<Failure, byte[]> load(Invocation invocation, String argument) {
        String source = invocation.arguments().getString(argument);
        if (!source.matches("[0-9]{1,18}")) {
            return invocation.readFile(source);
        }
        return invocation
                .client()
                .get()
                .flatMap(client -> client.get("/manifest?version=" + source))
                .map(EntryClient.EntryResponse::body);
    }

    private static ExitCode compare(Invocation invocation, byte[] before, byte[] after) {
        return new ManifestDiff()
                .compare(before, after)
                .fold(
                        problems -> invocation.fail(Failure.badUse(problems.get(0).toString())),
                        changes -> {
                            Result result =
                                    new Result(changes.stream().map(JsonChange::of).toList());
                            invocation.print(result, () -> describe(changes));
                            return ExitCode.DONE;
                        });
    }

    private static String describe(List<Change> changes) {
        if (changes.isEmpty()) {
            return "no differences";
        }
        return changes.stream().map(DiffCommand::describe).collect(Collectors.joining("\n"));
    }

    private static String describe(Change change) {
        String kind = change.kind().name().toLowerCase(Locale.ROOT);
        String values =
                change.before().map(b -> " " + b).orElse("")
                        + change.after().map(a -> " -> " + a).orElse("");
        return Table.toPrintable(kind + " " + change.path() + values);
    }

    /** The result, printed as JSON. */
    private record Result(List<JsonChange> changes) {}

    /** A difference in JSON; a value that is null because it does not exist is omitted. */
    private record JsonChange(String path, String kind, String before, String after) {
        static JsonChange of(Change change) {
            return new JsonChange(
                    change.path(),
                    change.kind().name().toLowerCase(Locale.ROOT),
                    change.before().orElse(null),
                    change.after().orElse(null));
        }
    }
}
