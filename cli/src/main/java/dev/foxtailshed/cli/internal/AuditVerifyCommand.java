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

/**
 * Compares the outcomes that entries reported to callers with the runs that sidecars recorded, over
 * the whole record of requests or a period of it.
 */
public final class AuditVerifyCommand implements Command {

    @Override
    public String words() {
        return "audit verify";
    }

    @Override
    public String help() {
        return "compare the outcomes reported to callers with the recorded runs";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("--from")
                .metavar("TIME")
                .help("start of the period, such as 2026-12-04T00:00:00Z");
        parser.addArgument("--to").metavar("TIME").help("end of the period, exclusive");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        long nowEpochMillis = System.currentTimeMillis();
        Either<Failure, AuditWindow> window =
                parseTime(invocation, "from", 0)
                        .flatMap(
                                from ->
                                        parseTime(invocation, "to", Long.MAX_VALUE)
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
                                .readAllChains()
                                .map(chains -> verify(chains, window.get()))
                                .fold(invocation::fail, report -> print(invocation, report)));
    }

    private static Either<Failure, Long> parseTime(
            Invocation invocation, String flag, long defaultEpochMillis) {
        String text = invocation.arguments().getString(flag);
        try {
            return Either.right(
                    text == null ? defaultEpochMillis : Instant.parse(text).toEpochMilli());
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
        boolean consistent = report.findings().stream().allMatch(f -> f.kind() == Kind.PENDING);
        return consistent ? ExitCode.DONE : ExitCode.CHECK_FAILED;
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
        report.findings().forEach(f -> table.addRow(f.kind(), f.subject(), f.text()));
        return counts + table;
    }

    /** The result, printed as JSON. */
    private record Report(long chains, long requests, long runs, List<RecordFinding> findings) {}
}
