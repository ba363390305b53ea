package dev.foxtailshed.cli.internal;

import dev.foxtailshed.cli.internal.EntryClient.EntryResponse;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Prints a manifest byte for byte as it was submitted. */
public final class GetCommand implements Command {

    @Override
    public String words() {
        return "manifest get";
    }

    @Override
    public String help() {
        return "print the newest manifest or an earlier one";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("--version").type(Long.class).help("the version; default: the newest");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        Long version = invocation.arguments().getLong("version");
        String query = version == null ? "" : "?version=" + version;
        return invocation.withClient(
                client ->
                        client.get("/manifest" + query)
                                .fold(invocation::fail, response -> print(invocation, response)));
    }

    private static ExitCode print(Invocation invocation, EntryResponse response) {
        response.manifestVersion().ifPresent(v -> invocation.printMessage("manifest version " + v));
        // Written byte for byte, so that its digest equals the document digest in the history.
        invocation.out().writeBytes(response.body());
        invocation.out().flush();
        return ExitCode.DONE;
    }
}
