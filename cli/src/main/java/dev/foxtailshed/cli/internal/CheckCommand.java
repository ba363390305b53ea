package dev.foxtailshed.cli.internal;

import dev.foxtailshed.kernel.manifest.ManifestProblem;
import dev.foxtailshed.kernel.manifest.ManifestReader;
import java.util.List;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Validates a manifest offline, with the same rules as the entries. */
public final class CheckCommand implements Command {

    @Override
    public String words() {
        return "manifest check";
    }

    @Override
    public String help() {
        return "check a manifest offline";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("file").metavar("FILE").help("the manifest");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        return invocation
                .readFile(invocation.arguments().getString("file"))
                .fold(invocation::fail, document -> check(invocation, document));
    }

    private static ExitCode check(Invocation invocation, byte[] document) {
        List<ManifestProblem> problems =
                new ManifestReader().read(document).swap().getOrElse(List.of());
        invocation.print(new Result(problems), () -> describe(problems));
        return problems.isEmpty() ? ExitCode.DONE : ExitCode.BAD_USE;
    }

    private static String describe(List<ManifestProblem> problems) {
        if (problems.isEmpty()) {
            return "no problems";
        }
        return problems.stream()
                .map(problem -> Table.toPrintable(problem.toString()))
                .collect(Collectors.joining("\n"));
    }

    /** The result, printed as JSON. */
    private record Result(List<ManifestProblem> problems) {}
}
