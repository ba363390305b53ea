package dev.foxtailshed.cli.internal;

import dev.foxtailshed.cli.internal.OperatorMessages.History;
import dev.foxtailshed.cli.internal.OperatorMessages.HistoryEntry;
import java.time.Instant;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Lists the accepted manifests, newest first. */
public final class HistoryCommand implements Command {

    private static final int DEFAULT_LIMIT = 20;

    @Override
    public String words() {
        return "manifest history";
    }

    @Override
    public String help() {
        return "list the accepted manifests, newest first";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("--limit")
                .type(Integer.class)
                .setDefault(DEFAULT_LIMIT)
                .help("how many manifests, " + DEFAULT_LIMIT + " if not given");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String path = "/history?limit=" + invocation.arguments().getInt("limit");
        return invocation.fetch(
                path,
                History.class,
                history -> {
                    invocation.print(history, () -> describe(history));
                    return ExitCode.DONE;
                });
    }

    /** Returns the history as a table. */
    static String describe(History history) {
        Table table = new Table("VERSION", "WHO", "FROM", "AT", "SUBMISSION", "DOCUMENT");
        for (HistoryEntry e : history.entries()) {
            table.addRow(
                    e.version(),
                    e.who(),
                    e.from(),
                    Instant.ofEpochMilli(e.atEpochMillis()),
                    e.submissionId(),
                    e.documentDigest());
        }
        return table.toString();
    }
}
