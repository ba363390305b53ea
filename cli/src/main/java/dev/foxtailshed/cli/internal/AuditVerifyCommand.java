package dev.foxtailshed.cli.internal;

import dev.foxtailshed.kernel.record.AuditWindow;
import dev.foxtailshed.kernel.record.DecodedChain;
import dev.foxtailshed.kernel.record.RecordFinding;
import dev.foxtailshed.kernel.record.RecordFinding.Kind;
import dev.foxtailshed.kernel.record.RecordVerifier;
import io.vavr.control.Either;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Compares what callers were told with what ran, over the whole record or a part of it. */
public final class AuditVerifyCommand implements Command {

    @Override
    public String words() {
        return "audit verify";
    }

    @Override
    public String help() {
        return "compare what callers were told with what ran";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("--from").metavar("TIME").help("such as 2026-12-04T00:00:00Z");
        parser.addArgument("--to").metavar("TIME").help("not included");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        long nowEpochMillis = System.currentTimeMillis();
        Either<Failure, AuditWindow> window =
                time(invocation, "from", 0)
                        .flatMap(
                                from ->
                                        time(invocation, "to", Long.MAX_VALUE)
                                                .map(
                                                        to ->
                                                                new AuditWindow(
                                                                        from, to, nowEpochMillis)));
        if (window.isLeft()) {
            return invocation.fail(window.getLeft());
        }
        return invocation.withClient(
                client ->
                        new RecordReader(client)
                                .read()
                                .map(chains -> verify(chains, window.get()))
                                .fold(invocation::fail, report -> print(invocation, report)));
    }

    private static Either<Failure, Long> time(Invocation invocation, String flag, long fallback) {
        String text = invocation.arguments().getString(flag);
        try {
            return Either.right(text == null ? fallback : Instant.parse(text).toEpochMilli());
        } catch (DateTimeParseException e) {
            return Either.left(
                    Failure.badUse(
                            "--"
                                    + flag
                                    + ": expected a time such as 2026-12-04T00:00:00Z, found "
                                    + text));
        }
    }

    private static Report verify(List<DecodedChain> chains, AuditWindow window) {
        long requests =
                chains.stream()
                        .flatMap(chain -> chain.batches().stream())
                        .mapToLong(batch -> batch.requests().size())
                        .sum();
        long runs =
                chains.stream()
                        .flatMap(chain -> chain.batches().stream())
                        .mapToLong(batch -> batch.runs().size())
                        .sum();
        return new Report(chains.size(), requests, runs, RecordVerifier.verify(chains, window));
    }

    private static ExitCode print(Invocation invocation, Report report) {
        invocation.print(report, () -> describe(report));
        boolean clean = report.findings().stream().allMatch(f -> f.kind() == Kind.PENDING);
        return clean ? ExitCode.DONE : ExitCode.CHECK_FAILED;
    }

    private static String describe(Report report) {
        String counts =
                report.chains()
                        + " chains, "
                        + report.requests()
                        + " requests, "
                        + report.runs()
                        + " runs\n";
        if (report.findings().isEmpty()) {
            return counts + "the record is consistent";
        }
        Table table = new Table("FINDING", "SUBJECT", "TEXT");
        report.findings().forEach(f -> table.row(f.kind(), f.subject(), f.text()));
        return counts + table;
    }

    /** The result as JSON. */
    private record Report(long chains, long requests, long runs, List<RecordFinding> findings) {}
}
