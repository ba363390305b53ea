package dev.foxtailshed.cli.internal;

import dev.foxtailshed.cli.internal.OperatorMessages.Goodput;
import dev.foxtailshed.cli.internal.OperatorMessages.ServerStatus;
import dev.foxtailshed.cli.internal.OperatorMessages.Status;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Shows the backend servers as seen by one entry, its goodput and its wasted prefill tokens. */
public final class StatusCommand implements Command {

    @Override
    public String words() {
        return "status";
    }

    @Override
    public String help() {
        return "show backend servers, goodput and wasted prefill as seen by one entry";
    }

    @Override
    public void declare(ArgumentParser parser) {
        // This command has the common flags only.
    }

    @Override
    public ExitCode run(Invocation invocation) {
        return invocation.fetch(
                "/status",
                Status.class,
                status -> {
                    invocation.print(status, () -> describe(status));
                    return ExitCode.DONE;
                });
    }

    private static String describe(Status status) {
        Table servers =
                new Table(
                        "SERVER", "POOL", "ZONE", "STATE", "SLOTS", "PIECES", "QUEUED", "BACKLOG",
                        "VERSION");
        for (ServerStatus s : status.servers()) {
            servers.addRow(
                    s.name(),
                    s.pool(),
                    s.zone(),
                    s.state(),
                    s.freeSlots(),
                    s.freePieces(),
                    s.queuedTokens(),
                    s.linkBacklogBytes(),
                    s.manifestVersion());
        }
        Table goodput = new Table("DEPLOYMENT", "CLASS", "MET", "MISSED", "FAILED");
        for (Goodput g : status.goodput()) {
            goodput.addRow(g.deployment(), g.requestClass(), g.met(), g.missed(), g.failed());
        }
        String head =
                "instance " + status.instance() + ", manifest version " + status.manifestVersion();
        String wasted =
                "wasted prefill: "
                        + status.wastedPrefillTokens()
                        + " of "
                        + status.prefillTokens()
                        + " tokens";
        return Table.toPrintable(head) + "\n\n" + servers + "\n" + goodput + "\n" + wasted;
    }
}
