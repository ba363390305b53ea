package dev.foxtailshed.cli.internal;

import dev.foxtailshed.cli.internal.OperatorMessages.History;
import dev.foxtailshed.cli.internal.OperatorMessages.HistoryEntry;
import dev.foxtailshed.kernel.manifest.Digests;
import dev.foxtailshed.kernel.manifest.ManifestHistory;
import dev.foxtailshed.kernel.manifest.ManifestHistory.BrokenLink;
import dev.foxtailshed.kernel.manifest.ManifestHistoryEntry;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Lists the accepted manifests and verifies that the history was not altered afterwards. */
public final class AuditTrailCommand implements Command {

    private static final int DEFAULT_LIMIT = 1000;

    @Override
    public String words() {
        return "audit trail";
    }

    @Override
    public String help() {
        return "list the accepted manifests and verify that the history was not altered";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("--limit")
                .type(Integer.class)
                .setDefault(DEFAULT_LIMIT)
                .help("how many of the newest manifests, " + DEFAULT_LIMIT + " if not given");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        int limit = invocation.arguments().getInt("limit");
        return invocation.withClient(
                client -> {
                    Either<Failure, Trail> trail =
                            client.get("/history?limit=" + limit, History.class)
                                    .flatMap(history -> verify(client, history));
                    return trail.fold(invocation::fail, t -> printTrail(invocation, t));
                });
    }

    private static Either<Failure, Trail> verify(EntryClient client, History history) {
        List<ManifestHistoryEntry> entries =
                new ArrayList<>(
                        history.entries().stream().map(HistoryEntry::toChainEntry).toList());
        Collections.reverse(entries);
        List<BrokenLink> broken = new ArrayList<>(ManifestHistory.verifyChain(entries));
        if (entries.isEmpty()) {
            return Either.right(new Trail(history.entries(), 0, broken));
        }
        long oldest = entries.get(0).version();
        ManifestHistoryEntry newest = entries.get(entries.size() - 1);
        return client.get("/manifest?version=" + newest.version())
                .map(
                        response -> {
                            String digest = Digests.sha256(response.body());
                            if (!digest.equals(newest.documentDigest())) {
                                String reason = "the document is not the one that was accepted";
                                broken.add(new BrokenLink(newest.version(), reason));
                            }
                            return new Trail(history.entries(), oldest, broken);
                        });
    }

    private static ExitCode printTrail(Invocation invocation, Trail trail) {
        invocation.print(trail, () -> describe(trail));
        return trail.broken().isEmpty() ? ExitCode.DONE : ExitCode.CHECK_FAILED;
    }

    private static String describe(Trail trail) {
        String result =
                trail.broken().isEmpty()
                        ? "verified from version " + trail.verifiedFromVersion()
                        : trail.broken().stream()
                                .map(link -> "version " + link.version() + ": " + link.reason())
                                .collect(Collectors.joining("\n"));
        return HistoryCommand.describe(new History(trail.entries())) + result;
    }

    /** The result, printed as JSON. */
    private record Trail(
            List<HistoryEntry> entries, long verifiedFromVersion, List<BrokenLink> broken) {}
}
