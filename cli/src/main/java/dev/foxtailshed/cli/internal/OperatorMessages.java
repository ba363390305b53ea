package dev.foxtailshed.cli.internal;

import dev.foxtailshed.kernel.manifest.ManifestHistoryEntry;
import dev.foxtailshed.kernel.manifest.ManifestProblem;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** The JSON response bodies of the operator API. */
final class OperatorMessages {

    private OperatorMessages() {}

    private static <T> List<T> orEmpty(List<T> list) {
        return list == null ? List.of() : list;
    }

    private static String orEmpty(String text) {
        return Objects.requireNonNullElse(text, "");
    }

    /** The response to an accepted submission. */
    record Accepted(long version, String submissionId) {}

    /** The body of an error response; members that do not apply are absent from the JSON. */
    record ErrorBody(ErrorDetail error, List<ManifestProblem> problems, long version) {
        ErrorBody {
            problems = orEmpty(problems);
        }

        Optional<ErrorDetail> detail() {
            return Optional.ofNullable(error);
        }

        /** Returns whether the entry reports that the call was not run and changed nothing. */
        boolean hasNotRunVerdict() {
            return error != null && "not-run".equals(error.verdict());
        }
    }

    /** Code, message and verdict of an error response. */
    record ErrorDetail(String code, String message, String verdict) {
        ErrorDetail {
            code = orEmpty(code);
            message = orEmpty(message);
            verdict = orEmpty(verdict);
        }
    }

    /** The history of accepted manifests, newest first. */
    record History(List<HistoryEntry> entries) {
        History {
            entries = orEmpty(entries);
        }
    }

    /** One accepted manifest. */
    record HistoryEntry(
            long version,
            String who,
            String from,
            long atEpochMillis,
            String submissionId,
            String documentDigest,
            String previousEntryDigest) {

        /** Returns this entry in the form that {@code ManifestHistory} verifies. */
        ManifestHistoryEntry toChainEntry() {
            return new ManifestHistoryEntry(
                    version,
                    orEmpty(who),
                    orEmpty(from),
                    atEpochMillis,
                    orEmpty(submissionId),
                    orEmpty(documentDigest),
                    orEmpty(previousEntryDigest));
        }
    }

    /** The manifest version that each instance applies. */
    record InForce(long newestVersion, List<Instance> instances) {
        InForce {
            instances = orEmpty(instances);
        }

        /**
         * Returns the instances that are unreachable or apply an older version than the given one.
         */
        List<Instance> instancesBehind(long version) {
            return instances.stream().filter(i -> !i.reachable() || i.version() < version).toList();
        }
    }

    /** An instance and the manifest version that it applies. */
    record Instance(
            String name, String role, long version, long sinceEpochMillis, boolean reachable) {}

    /** The state of the backend servers as seen by one entry, with its goodput counters. */
    record Status(
            String instance,
            long manifestVersion,
            List<ServerStatus> servers,
            List<Goodput> goodput,
            long wastedPrefillTokens,
            long prefillTokens) {
        Status {
            servers = orEmpty(servers);
            goodput = orEmpty(goodput);
        }
    }

    /** The state of a backend server. */
    record ServerStatus(
            String name,
            String pool,
            String zone,
            String state,
            long freeSlots,
            long freePieces,
            long queuedTokens,
            long linkBacklogBytes,
            long manifestVersion) {}

    /** The numbers of requests that met their latency targets, missed them or failed. */
    record Goodput(String deployment, String requestClass, long met, long missed, long failed) {}
}
