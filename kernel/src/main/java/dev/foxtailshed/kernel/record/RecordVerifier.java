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
 * Compares what callers were told with what ran.
 *
 * <p>Example: <code>List&lt;RecordFinding&gt; findings = RecordVerifier.verify(chains, window);
 * </code> Stateless and thread-safe. A run that only one side knows is a gap while the other side's
 * chain is broken, has lost notes or does not reach to the time of the run; otherwise a
 * disagreement.
 */
public final class RecordVerifier {

    /** How far the clocks of two instances may differ. */
    private static final long CLOCK_TOLERANCE_MILLIS = 5_000;

    /** Of an instance that has written nothing yet nothing contradicts that its chain is whole. */
    private static final Coverage UNKNOWN = new Coverage(0, true);

    private final Map<String, RunRecord> runs = new HashMap<>();
    private final Map<String, Coverage> sidecars = new HashMap<>();
    private final Map<String, Coverage> entries = new HashMap<>();
    private final Map<String, String> sidecarOfRun = new HashMap<>();
    private final Set<String> attemptsTold = new HashSet<>();
    private final List<RecordFinding> findings = new ArrayList<>();

    private final AuditWindow window;

    private RecordVerifier(AuditWindow window) {
        this.window = window;
    }

    /** How far the chains of one instance, or of one incarnation, can be relied on. */
    private record Coverage(long untilEpochMillis, boolean whole) {

        Coverage and(Coverage other) {
            return new Coverage(
                    Math.max(untilEpochMillis, other.untilEpochMillis), whole && other.whole);
        }

        boolean covers(long epochMillis) {
            return whole && epochMillis + CLOCK_TOLERANCE_MILLIS <= untilEpochMillis;
        }
    }

    /**
     * Verifies the record.
     *
     * @param chains all chains that were read
     * @param window which requests and runs are compared
     * @return what was found, empty for a clean record
     */
    public static List<RecordFinding> verify(Collection<DecodedChain> chains, AuditWindow window) {
        RecordVerifier verifier = new RecordVerifier(window);
        chains.forEach(verifier::readChain);
        chains.forEach(verifier::compareRequests);
        verifier.compareRuns();
        return List.copyOf(verifier.findings);
    }

    private void readChain(DecodedChain chain) {
        List<RecordFinding> broken = chain.findings();
        findings.addAll(broken);
        Coverage coverage = new Coverage(chain.untilEpochMillis(), broken.isEmpty());
        RecordChainId name = chain.chain();
        if (name.side() == RecordChainId.Side.SIDECAR) {
            sidecars.merge(name.instance(), coverage, Coverage::and);
            chain.batches().forEach(batch -> batch.runs().forEach(run -> addRun(name, run)));
        } else {
            entries.merge(name.incarnation(), coverage, Coverage::and);
        }
    }

    private void addRun(RecordChainId chain, RunRecord run) {
        RunRecord before = runs.put(run.attempt(), run);
        sidecarOfRun.put(run.attempt(), chain.toString());
        if (before != null) {
            add(Kind.DISAGREEMENT, run.attempt(), "was run twice, the second time by " + chain);
        }
    }

    private void compareRequests(DecodedChain chain) {
        for (RecordBatch batch : chain.batches()) {
            batch.requests().forEach(this::noteAttempts);
            batch.requests().stream()
                    .filter(request -> window.contains(request.endedEpochMillis()))
                    .forEach(this::compareRequest);
        }
    }

    private void noteAttempts(RequestRecord request) {
        request.attempts().forEach(attempt -> attemptsTold.add(attempt.attempt()));
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
                        "the caller was told \"not run\", but " + attempt.attempt() + " ran");
            }
        }
        if (!request.repeatable() && ran > 1) {
            add(
                    Kind.DISAGREEMENT,
                    request.request(),
                    "may not be repeated, but ran " + ran + " times");
        }
    }

    private void compareAttempt(RequestRecord request, AttemptRecord attempt, RunRecord run) {
        if (attempt.verdict() == Verdict.NOT_RUN && mayHaveRun(run)) {
            add(
                    Kind.DISAGREEMENT,
                    attempt.attempt(),
                    "the entry holds it for not run, the sidecar of "
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
            boolean unknown = !attemptsTold.contains(run.attempt()) && mayHaveRun(run);
            if (unknown && window.contains(run.endedEpochMillis())) {
                String incarnation = run.attempt().substring(0, run.attempt().indexOf('-'));
                Coverage coverage = entries.getOrDefault(incarnation, UNKNOWN);
                add(
                        kindOfMissing(coverage, run.endedEpochMillis()),
                        run.attempt(),
                        "was run by "
                                + sidecarOfRun.get(run.attempt())
                                + ", but its entry has no record of it");
            }
        }
    }

    /** Tells what it means that the other side has no note of something. */
    private Kind kindOfMissing(Coverage coverage, long endedEpochMillis) {
        if (coverage.covers(endedEpochMillis)) {
            return Kind.DISAGREEMENT;
        }
        return coverage.whole() && window.isRecent(endedEpochMillis) ? Kind.PENDING : Kind.GAP;
    }

    private static boolean mayHaveRun(RunRecord run) {
        return run != null && run.verdict() != Verdict.NOT_RUN;
    }

    private void add(Kind kind, String subject, String text) {
        findings.add(new RecordFinding(kind, subject, text));
    }
}
