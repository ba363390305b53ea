package dev.foxtailshed.daemon.internal.claims;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.daemon.internal.claims.ClaimSimulation.Entry;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.claims.Claim;
import dev.foxtailshed.kernel.claims.ClaimRequest;
import dev.foxtailshed.kernel.claims.RecordedAnswer;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Compares the claim services of several entries on one shard with a model that counts runs, while
 * updates conflict, responses are lost, updates take effect late, and entries crash or pause.
 */
class ClaimInterleavingTest {

    private static final long FIRST_SEED = 20_260_401L;
    private static final int INTERLEAVINGS = 12_000;
    private static final int STEPS = 120;
    private static final int KEYS = 3;
    private static final int MAXIMUM_SETTLE_STEPS = 20_000;
    private static final long RUN_LIMIT_MILLIS = 500;
    private static final long CONTENT_CHANGES_EVERY = 12;

    @Test
    void noKeyRunsTwiceAndNotRunVerdictsAreCorrect() {
        Totals totals = new Totals();
        for (int i = 0; i < INTERLEAVINGS; i++) {
            long seed = FIRST_SEED + i;
            try {
                new Interleaving(seed, totals).execute();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
        System.out.println(
                "seeds from " + FIRST_SEED + ", interleavings " + INTERLEAVINGS + ", " + totals);
        assertThat(totals.runs).isGreaterThan(INTERLEAVINGS);
        assertThat(totals.replays).isGreaterThan(INTERLEAVINGS / 10);
        assertThat(totals.notRun).isGreaterThan(INTERLEAVINGS / 10);
        assertThat(totals.expiredRuns).isGreaterThan(INTERLEAVINGS / 100);
    }

    /** Counts each kind of outcome, so that a test that exercises nothing fails. */
    private static final class Totals {
        private int runs;
        private int replays;
        private int notRun;
        private int inUse;
        private int expiredRuns;

        @Override
        public String toString() {
            return String.format(
                    "runs %d, replays %d, not run %d, in use %d, runs after expiry %d",
                    runs, replays, notRun, inUse, expiredRuns);
        }
    }

    /** A run as tracked by the model. */
    private record Run(ClaimRequest request, Entry entry, long startMillis) {}

    /** One seeded sequence of events. */
    private static final class Interleaving {
        private final ClaimSimulation simulation;
        private final Totals totals;
        private final Map<String, Run> lastRunByKey = new HashMap<>();
        private final Set<String> startedClaimIds = new HashSet<>();
        private final Set<String> claimsOfUnknownOutcome = new HashSet<>();
        private final Set<String> pending = new HashSet<>();
        private final List<Run> running = new ArrayList<>();
        private int requests;

        Interleaving(long seed, Totals totals) {
            this.simulation = new ClaimSimulation(seed);
            this.totals = totals;
        }

        void execute() {
            for (int i = 0; i < STEPS; i++) {
                int action = simulation.random().nextInt(100);
                if (action < 20) {
                    send(simulation.randomEntry());
                } else if (action < 28) {
                    finishOne();
                } else {
                    simulation.step(action);
                }
            }
            finishAndCheck();
        }

        private void send(Entry entry) {
            if (!entry.isRunning()) {
                return;
            }
            int number = requests++;
            String key = "0000" + simulation.random().nextInt(KEYS);
            boolean otherContent = simulation.random().nextInt((int) CONTENT_CHANGES_EVERY) == 0;
            ClaimRequest request =
                    new ClaimRequest(
                            key,
                            "id" + number,
                            otherContent ? "other" : "content",
                            entry.claims().expiryEpochMillis(RUN_LIMIT_MILLIS));
            pending.add(request.claimId());
            entry.recordRequest(request.claimId());
            long sentMillis = simulation.nowMillis();
            entry.claims()
                    .claim(request)
                    .thenAccept(result -> onResult(entry, request, sentMillis, result));
        }

        private void onResult(
                Entry entry,
                ClaimRequest request,
                long sentMillis,
                Either<RequestFailure, Optional<RecordedAnswer>> result) {
            assertThat(pending.remove(request.claimId()))
                    .as("first result of the request")
                    .isTrue();
            if (result.isLeft()) {
                Verdict verdict = result.getLeft().verdict();
                totals.notRun += verdict == Verdict.NOT_RUN ? 1 : 0;
                totals.inUse += verdict == Verdict.MAY_HAVE_RUN ? 1 : 0;
            } else if (result.get().isPresent()) {
                totals.replays++;
                assertThat(startedClaimIds).contains(result.get().get().bodyDigest());
            } else if (simulation.random().nextInt(8) == 0
                    || simulation.nowMillis() - sentMillis > RUN_LIMIT_MILLIS) {
                // No backend server accepted the call, or its own deadline has passed.
                entry.claims().release(request);
            } else {
                run(entry, request);
            }
        }

        private void run(Entry entry, ClaimRequest request) {
            long nowMillis = simulation.nowMillis();
            Run previous = lastRunByKey.get(request.key());
            if (previous != null) {
                assertThat(previous.request().expiresAtEpochMillis())
                        .as("second run of a key before its claim expires")
                        .isLessThanOrEqualTo(nowMillis);
                totals.expiredRuns++;
            }
            Run run = new Run(request, entry, nowMillis);
            lastRunByKey.put(request.key(), run);
            startedClaimIds.add(request.claimId());
            running.add(run);
            totals.runs++;
        }

        private void finishOne() {
            if (running.isEmpty()) {
                return;
            }
            Run run = running.remove(simulation.random().nextInt(running.size()));
            if (simulation.random().nextInt(10) == 0) {
                claimsOfUnknownOutcome.add(run.request().claimId());
            } else {
                run.entry().claims().complete(run.request(), answerOf(run.request()));
            }
        }

        /**
         * Ends all faults, then checks that every request gets a result and that only keys with an
         * unknown outcome stay claimed.
         */
        private void finishAndCheck() {
            simulation.endFaults();
            int steps = 0;
            while (!running.isEmpty() || simulation.stepWithoutFaults()) {
                finishOne();
                assertThat(steps++).as("steps to settle").isLessThan(MAXIMUM_SETTLE_STEPS);
            }
            Set<String> stillPending = new HashSet<>(pending);
            stillPending.removeIf(id -> simulation.belongsToCrashedEntry(id));
            assertThat(stillPending).as("requests without a result").isEmpty();
            simulation.storedShard().claims().forEach(this::checkStored);
            simulation.storedShard().claims().forEach(this::checkResend);
        }

        /**
         * Checks that a resend through any entry returns the recorded answer, whatever that entry
         * has cached.
         */
        private void checkResend(String key, Claim claim) {
            if (claim.answer().isEmpty()
                    || claim.expiresAtEpochMillis() <= simulation.nowMillis()) {
                return;
            }
            for (Entry entry : simulation.entries()) {
                List<String> replayed = new ArrayList<>();
                ClaimRequest resend =
                        new ClaimRequest(
                                key, "resend", claim.contentDigest(), claim.expiresAtEpochMillis());
                entry.claims()
                        .claim(resend)
                        .thenAccept(r -> r.get().ifPresent(a -> replayed.add(a.bodyDigest())));
                simulation.runTasks();
                assertThat(replayed).as("answer to a resend").containsExactly(claim.claimId());
            }
        }

        private void checkStored(String key, Claim claim) {
            boolean expected =
                    claim.answer().isPresent()
                            || claimsOfUnknownOutcome.contains(claim.claimId())
                            || simulation.belongsToCrashedEntry(claim.claimId());
            assertThat(expected).as("claim left behind by %s", claim.claimId()).isTrue();
        }

        private static RecordedAnswer answerOf(ClaimRequest request) {
            return new RecordedAnswer(
                    200, request.claimId(), Optional.of(new RecordedAnswer.Content(List.of(), "")));
        }
    }
}
