package dev.foxtailshed.cli.internal;

import dev.foxtailshed.cli.internal.OperatorMessages.InForce;
import dev.foxtailshed.cli.internal.OperatorMessages.Instance;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/**
 * Shows the manifest version that each instance applies, and optionally waits until a version is in
 * force on all of them.
 */
public final class InForceCommand implements Command {

    private static final long POLL_PERIOD_MILLIS = 250;

    @Override
    public String words() {
        return "manifest status";
    }

    @Override
    public String help() {
        return "show the manifest version in force on each instance";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("--wait")
                .type(Long.class)
                .metavar("SECONDS")
                .help("wait until it is in force on all instances; exit code 1 on timeout");
        parser.addArgument("--expect-version")
                .type(Long.class)
                .help("the minimum version that must be in force; default: the newest");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        return invocation.withClient(client -> poll(invocation, client));
    }

    private static ExitCode poll(Invocation invocation, EntryClient client) {
        Optional<Long> waitSeconds = Optional.ofNullable(invocation.arguments().getLong("wait"));
        Optional<Long> expected =
                Optional.ofNullable(invocation.arguments().getLong("expect_version"));
        long endMillis =
                invocation.timer().nowMillis() + TimeUnit.SECONDS.toMillis(waitSeconds.orElse(0L));
        while (true) {
            Either<Failure, InForce> state = client.get("/in-force", InForce.class);
            boolean inForce = state.exists(s -> isInForce(s, expected));
            boolean mayRecover =
                    state.isRight() || state.getLeft().exitCode() == ExitCode.NOT_REACHABLE;
            if (inForce || !mayRecover || invocation.timer().nowMillis() >= endMillis) {
                boolean mustBeInForce = waitSeconds.isPresent() || expected.isPresent();
                return state.fold(
                        invocation::fail,
                        s -> printState(invocation, s, inForce || !mustBeInForce));
            }
            invocation.timer().sleep(POLL_PERIOD_MILLIS);
        }
    }

    private static boolean isInForce(InForce state, Optional<Long> expected) {
        long version = expected.orElse(state.newestVersion());
        return state.newestVersion() >= version && state.instancesBehind(version).isEmpty();
    }

    private static ExitCode printState(Invocation invocation, InForce state, boolean succeeded) {
        invocation.print(state, () -> describe(state));
        return succeeded ? ExitCode.DONE : ExitCode.CHECK_FAILED;
    }

    private static String describe(InForce state) {
        Table table = new Table("INSTANCE", "ROLE", "VERSION", "SINCE", "REACHABLE");
        for (Instance i : state.instances()) {
            table.addRow(
                    i.name(),
                    i.role(),
                    i.version(),
                    Instant.ofEpochMilli(i.sinceEpochMillis()),
                    i.reachable() ? "yes" : "no");
        }
        return "newest version: " + state.newestVersion() + "\n" + table;
    }
}
