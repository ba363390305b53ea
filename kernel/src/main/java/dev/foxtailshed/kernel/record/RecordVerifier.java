package dev.foxtailshed.kernel.record;

import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.record.RecordFinding.Kind;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares the outcomes reported to callers with the runs recorded by sidecars.
 *
 * <p>Example: <code>List&lt;RecordFinding&gt; findings = RecordVerifier.verify(chains, window);
 * </code> Thread-safe. A run that only one side recorded is a disagreement if the chain of the
 * other side is complete up to the time of the run. Otherwise it is pending if that chain is intact
 * and the run is recent, and a gap if not.
 */
public final class RecordVerifier {

    /** The maximum difference between the clocks of two instances. */
    private static final long CLOCK_TOLERANCE_MILLIS = 5_000;

    /** The coverage of an instance without batches, whose chain is not known to be broken. */
    private static final Coverage UNKNOWN = new Coverage(0, true);

    private final Map<String, RunRecord> runs = new HashMap<>();
    private final Map<String, Coverage> sidecars = new HashMap<>();
    private final Map<String, Coverage> entries = new HashMap<>();
    private final Map<String, String> sidecarOfRun = new HashMap<>();
    private final Set<String> reportedAttempts = new HashSet<>();
    private final List<RecordFinding> findings = new ArrayList<>();

    private final AuditWindow window;

    private RecordVerifier(AuditWindow window) {
        this.window = window;
    }

    /**
     * The time up to which the chains of an instance or incarnation are complete, and their state.
     */
    private record Coverage(long untilEpochMillis, boolean intact) {

        Coverage combinedWith(Coverage other) {
            return new Coverage(
                    Math.max(untilEpochMillis, other.untilEpochMillis), intact && other.intact);
        }

        boolean covers(long epochMillis) {
            return intact && epochMillis + CLOCK_TOLERANCE_MILLIS <= untilEpochMillis;
        }
    }

    /**
     * Verifies the record.
     *
     * @param chains all decoded chains
     * @param window the range of requests and runs to compare
     * @return the findings, empty for a consistent record
     */
    public static List<RecordFinding> verify(Collection<DecodedChain> chains, AuditWindow window) {
        RecordVerifier verifier = new RecordVerifier(window);
        chains.forEach(verifier::addChain);
        chains.forEach(verifier::compareRequests);
        verifier.compareRuns();
        return List.copyOf(verifier.findings);
    }

    private void addChain(DecodedChain chain) {
        List<RecordFinding> broken = chain.findings();
        findings.addAll(broken);
        Coverage coverage = new Coverage(chain.untilEpochMillis(), broken.isEmpty());
        RecordChainId id = chain.id();
        if (id.side() == RecordChainId.Side.SIDECAR) {
            sidecars.merge(id.instance(), coverage, Coverage::combinedWith);
            chain.batches().forEach(batch -> batch.runs().forEach(run -> addRun(id, run)));
        } else {
            entries.merge(id.incarnation(), coverage, Coverage::combinedWith);
        }
    }

    private void addRun(RecordChainId chain, RunRecord run) {
        RunRecord before = runs.put(run.attempt(), run);
        sidecarOfRun.put(run.attempt(), chain.toString());
        if (before != null) {
            add(Kind.DISAGREEMENT, run.attempt(), "ran twice, the second time on " + chain);
        }
    }

    private void compareRequests(DecodedChain chain) {
        for (RecordBatch batch : chain.batches()) {
            batch.requests().forEach(this::addReportedAttempts);
            batch.requests().stream()
                    .filter(request -> window.contains(request.endedEpochMillis()))
                    .forEach(this::compareRequest);
        }
    }

    private void addReportedAttempts(RequestRecord request) {
        request.attempts().forEach(attempt -> reportedAttempts.add(attempt.attempt()));
    }

    private void compareRequest(RequestRecord request) {
        int ran = 0;
        for (AttemptRecord attempt : request.attempts()) {
            RunRecord run = runs.get(attempt.attempt());
            compareAttempt(request, attempt, run);
            ran += run != null && run.verdict() == Verdict.RAN ? 1 : 0;
            if (request.verdict() == Verdict.NOT_RUN && mayHaveRun(run)) {
                add(
                        Kind.DISAGREEMENT,
                        request.request(),
                        "reported to the caller as \"not run\", but " + attempt.attempt() + " ran");
            }
        }
        if (!request.repeatable() && ran > 1) {
            add(
                    Kind.DISAGREEMENT,
                    request.request(),
                    "is not repeatable, but ran " + ran + " times");
        }
    }

    private void compareAttempt(RequestRecord request, AttemptRecord attempt, RunRecord run) {
        if (attempt.verdict() == Verdict.NOT_RUN && mayHaveRun(run)) {
            add(
                    Kind.DISAGREEMENT,
                    attempt.attempt(),
                    "the entry recorded \"not run\", but the sidecar of "
                            + attempt.server()
                            + " ran it");
        } else if (attempt.verdict() == Verdict.RAN && run == null) {
            Coverage coverage = sidecars.getOrDefault(attempt.server(), UNKNOWN);
            add(
                    kindOfMissing(coverage, request.endedEpochMillis()),
                    attempt.attempt(),
                    "the sidecar of " + attempt.server() + " has no record of the run");
        }
    }

    private void compareRuns() {
        for (RunRecord run : runs.values()) {
            boolean unreported = !reportedAttempts.contains(run.attempt()) && mayHaveRun(run);
            if (unreported && window.contains(run.endedEpochMillis())) {
                String incarnation = run.attempt().substring(0, run.attempt().indexOf('-'));
                Coverage coverage = entries.getOrDefault(incarnation, UNKNOWN);
                add(
                        kindOfMissing(coverage, run.endedEpochMillis()),
                        run.attempt(),
                        "ran on "
                                + sidecarOfRun.get(run.attempt())
                                + ", but its entry has no record of it");
            }
        }
    }

    /** Returns the kind of finding for something that the other side did not record. */
    private Kind kindOfMissing(Coverage coverage, long endedEpochMillis) {
        if (coverage.covers(endedEpochMillis)) {
            return Kind.DISAGREEMENT;
        }
        return coverage.intact() && window.isRecent(endedEpochMillis) ? Kind.PENDING : Kind.GAP;
    }

    private static boolean mayHaveRun(RunRecord run) {
        return run != null && run.verdict() != Verdict.NOT_RUN;
    }

    private void add(Kind kind, String subject, String text) {
        findings.add(new RecordFinding(kind, subject, text));
    }
}
