package dev.foxtailshed.cli.internal;

import dev.foxtailshed.cli.internal.Submitter.Outcome;
import dev.foxtailshed.kernel.manifest.ManifestReader;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Submits a manifest, or determines the outcome of an earlier submission by its id. */
public final class SubmitCommand implements Command {

    private static final Pattern SUBMISSION_ID = Pattern.compile("[A-Za-z0-9-]{1,64}");

    @Override
    public String words() {
        return "manifest submit";
    }

    @Override
    public String help() {
        return "submit a manifest";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("file").metavar("FILE").help("the manifest");
        parser.addArgument("--expect-version")
                .type(Long.class)
                .help("accept the manifest only if this is the current version; 0 for the first");
        parser.addArgument("--submission-id")
                .help("the id of an earlier submission, to determine its outcome");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String id =
                Optional.ofNullable(invocation.arguments().getString("submission_id"))
                        .orElseGet(() -> UUID.randomUUID().toString());
        if (!SUBMISSION_ID.matcher(id).matches()) {
            return invocation.fail(
                    Failure.badUse(
                            "--submission-id: expected 1 to 64 letters, digits or hyphens, found "
                                    + id));
        }
        Either<Failure, byte[]> document =
                invocation
                        .readFile(invocation.arguments().getString("file"))
                        .filterOrElse(
                                bytes -> bytes.length <= ManifestReader.MAXIMUM_SIZE_BYTES,
                                bytes -> Failure.badUse("the manifest is larger than 1 MiB"));
        return document.fold(
                invocation::fail,
                bytes -> invocation.withClient(client -> submit(invocation, client, bytes, id)));
    }

    private static ExitCode submit(
            Invocation invocation, EntryClient client, byte[] document, String id) {
        Long expected = invocation.arguments().getLong("expect_version");
        OptionalLong expectVersion =
                expected == null ? OptionalLong.empty() : OptionalLong.of(expected);
        Outcome outcome =
                new Submitter(client, invocation.timer(), document, expectVersion, id).submit();
        invocation.print(outcome, () -> describe(outcome));
        return outcome.exitCode();
    }

    private static String describe(Outcome outcome) {
        switch (outcome.exitCode()) {
            case DONE:
                return "accepted as version " + outcome.version();
            case CONFLICT:
                return "conflict: version "
                        + outcome.version()
                        + " won; this manifest was not accepted";
            case OUTCOME_UNKNOWN:
                return "outcome unknown ("
                        + Table.toPrintable(outcome.message())
                        + "); repeat the command to determine it, with --submission-id "
                        + outcome.submissionId();
            default:
                return "not accepted: "
                        + Table.toPrintable(outcome.message())
                        + outcome.problems().stream()
                                .map(p -> "\n" + Table.toPrintable(p.toString()))
                                .collect(Collectors.joining());
        }
    }
}
