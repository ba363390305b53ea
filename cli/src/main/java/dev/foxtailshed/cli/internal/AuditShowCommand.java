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

/** Shows one request and its attempts as recorded by the entry and by the sidecars. */
public final class AuditShowCommand implements Command {

    @Override
    public String words() {
        return "audit show";
    }

    @Override
    public String help() {
        return "show one request as recorded by the entry and by the sidecars";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("request")
                .metavar("REQUEST")
                .help("the id in the response, with or without cmpl- or chatcmpl-");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String request =
                invocation.arguments().getString("request").replaceFirst("^(chat)?cmpl-", "");
        return invocation.withClient(
                client ->
                        new RecordReader(client)
                                .readAllChains()
                                .flatMap(chains -> find(chains, request))
                                .fold(
                                        invocation::fail,
                                        story -> {
                                            invocation.print(story, () -> describe(story));
                                            return ExitCode.DONE;
                                        }));
    }

    private static Either<Failure, Story> find(List<DecodedChain> chains, String request) {
        Optional<RequestRecord> found =
                chains.stream()
                        .flatMap(chain -> chain.batches().stream())
                        .flatMap(batch -> batch.requests().stream())
                        .filter(record -> record.request().equals(request))
                        .findFirst();
        if (found.isEmpty()) {
            return Either.left(Failure.badUse("the record contains no request " + request));
        }
        Set<String> attempts =
                found.get().attempts().stream()
                        .map(AttemptRecord::attempt)
                        .collect(Collectors.toSet());
        List<RunRecord> runs =
                chains.stream()
                        .flatMap(chain -> chain.batches().stream())
                        .flatMap(batch -> batch.runs().stream())
                        .filter(run -> attempts.contains(run.attempt()))
                        .toList();
        return Either.right(new Story(found.get(), runs));
    }

    private static String describe(Story story) {
        RequestRecord requestRecord = story.told();
        String outcome = requestRecord.code().isEmpty() ? "answered" : requestRecord.code();
        String head =
                String.format(
                        "request %s of %s (%s): %s, verdict %s, after %d ms, %d tokens, at %s%n",
                        requestRecord.request(),
                        requestRecord.deployment(),
                        requestRecord.requestClass(),
                        outcome,
                        requestRecord.verdict().label(),
                        requestRecord.tookMillis(),
                        requestRecord.outputTokens(),
                        Instant.ofEpochMilli(requestRecord.endedEpochMillis()));
        Table table = new Table("ATTEMPT", "KIND", "SERVER", "ENTRY SAYS", "SIDECAR SAYS", "CODE");
        for (AttemptRecord attempt : requestRecord.attempts()) {
            String sidecarVerdict =
                    story.runs().stream()
                            .filter(run -> run.attempt().equals(attempt.attempt()))
                            .map(run -> run.verdict().label())
                            .findFirst()
                            .orElse("no run");
            table.addRow(
                    attempt.attempt(),
                    attempt.kind(),
                    attempt.server(),
                    attempt.verdict().label(),
                    sidecarVerdict,
                    attempt.code());
        }
        return head + table;
    }

    /** The result, printed as JSON. */
    private record Story(RequestRecord told, List<RunRecord> runs) {}
}
