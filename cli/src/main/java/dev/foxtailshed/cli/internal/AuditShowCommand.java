package dev.foxtailshed.cli.internal;

import dev.foxtailshed.kernel.record.AttemptRecord;
import dev.foxtailshed.kernel.record.DecodedChain;
import dev.foxtailshed.kernel.record.RequestRecord;
import dev.foxtailshed.kernel.record.RunRecord;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Tells one request's story from both sides of the record. */
public final class AuditShowCommand implements Command {

    @Override
    public String words() {
        return "audit show";
    }

    @Override
    public String help() {
        return "tell what became of one request, from both sides of the record";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("request")
                .metavar("REQUEST")
                .help("the id of the answer, with or without cmpl- or chatcmpl-");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String request =
                invocation.arguments().getString("request").replaceFirst("^(chat)?cmpl-", "");
        return invocation.withClient(
                client ->
                        new RecordReader(client)
                                .read()
                                .flatMap(chains -> find(chains, request))
                                .fold(
                                        invocation::fail,
                                        story -> {
                                            invocation.print(story, () -> describe(story));
                                            return ExitCode.DONE;
                                        }));
    }

    private static Either<Failure, Story> find(List<DecodedChain> chains, String request) {
        Optional<RequestRecord> told =
                chains.stream()
                        .flatMap(chain -> chain.batches().stream())
                        .flatMap(batch -> batch.requests().stream())
                        .filter(record -> record.request().equals(request))
                        .findFirst();
        if (told.isEmpty()) {
            return Either.left(Failure.badUse("the record holds no request " + request));
        }
        Set<String> attempts =
                told.get().attempts().stream()
                        .map(AttemptRecord::attempt)
                        .collect(Collectors.toSet());
        List<RunRecord> runs =
                chains.stream()
                        .flatMap(chain -> chain.batches().stream())
                        .flatMap(batch -> batch.runs().stream())
                        .filter(run -> attempts.contains(run.attempt()))
                        .toList();
        return Either.right(new Story(told.get(), runs));
    }

    private static String describe(Story story) {
        RequestRecord told = story.told();
        String outcome = told.code().isEmpty() ? "answered" : told.code();
        String head =
                String.format(
                        "request %s of %s (%s): %s, verdict %s, after %d ms, %d tokens, at %s%n",
                        told.request(),
                        told.deployment(),
                        told.requestClass(),
                        outcome,
                        told.verdict().label(),
                        told.tookMillis(),
                        told.outputTokens(),
                        Instant.ofEpochMilli(told.endedEpochMillis()));
        Table table = new Table("ATTEMPT", "KIND", "SERVER", "ENTRY SAYS", "SIDECAR SAYS", "CODE");
        for (AttemptRecord attempt : told.attempts()) {
            String sidecar =
                    story.runs().stream()
                            .filter(run -> run.attempt().equals(attempt.attempt()))
                            .map(run -> run.verdict().label())
                            .findFirst()
                            .orElse("no run");
            table.row(
                    attempt.attempt(),
                    attempt.kind(),
                    attempt.server(),
                    attempt.verdict().label(),
                    sidecar,
                    attempt.code());
        }
        return head + table;
    }

    /** The result as JSON. */
    private record Story(RequestRecord told, List<RunRecord> runs) {}
}
