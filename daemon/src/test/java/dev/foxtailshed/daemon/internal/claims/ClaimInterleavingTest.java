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
 * updates conflict, answers get lost, updates land late and entries die or stand still.
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
    void noKeyRunsTwiceAndNotRunIsTrue() {
        Totals totals = new Totals();
        for (int i = 0; i < INTERLEAVINGS; i++) {
            long seed = FIRST_SEED + i;
            try {
                new Interleaving(seed, totals).play();
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

    /** How often each outcome was seen, so that a test which exercises nothing fails. */
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

    /** A run that was ordered: the model's view. */
    private record Run(ClaimRequest request, Entry entry, long startMillis) {}

    /** One seeded order of events. */
    private static final class Interleaving {
        private final ClaimSimulation world;
        private final Totals totals;
        private final Map<String, Run> lastRunByKey = new HashMap<>();
        private final Set<String> ran = new HashSet<>();
        private final Set<String> mayStayClaimed = new HashSet<>();
        private final Set<String> open = new HashSet<>();
        private final List<Run> running = new ArrayList<>();
        private int requests;

        Interleaving(long seed, Totals totals) {
            this.world = new ClaimSimulation(seed);
            this.totals = totals;
        }

        void play() {
            for (int i = 0; i < STEPS; i++) {
                int action = world.random().nextInt(100);
                if (action < 20) {
                    send(world.randomEntry());
                } else if (action < 28) {
                    finishOne();
                } else {
                    world.step(action);
                }
            }
            settle();
        }

        private void send(Entry entry) {
            if (!entry.isRunning()) {
                return;
            }
            int number = requests++;
            String key = "0000" + world.random().nextInt(KEYS);
            boolean other = world.random().nextInt((int) CONTENT_CHANGES_EVERY) == 0;
            ClaimRequest request =
                    new ClaimRequest(
                            key,
                            "id" + number,
                            other ? "other" : "content",
                            entry.claims().expiryEpochMillis(RUN_LIMIT_MILLIS));
            open.add(request.claimId());
            entry.took(request.claimId());
            long sentMillis = world.nowMillis();
            entry.claims()
                    .claim(request)
                    .thenAccept(result -> told(entry, request, sentMillis, result));
        }

        private void told(
                Entry entry,
                ClaimRequest request,
                long sentMillis,
                Either<RequestFailure, Optional<RecordedAnswer>> result) {
            assertThat(open.remove(request.claimId())).as("told once").isTrue();
            if (result.isLeft()) {
                Verdict verdict = result.getLeft().verdict();
                totals.notRun += verdict == Verdict.NOT_RUN ? 1 : 0;
                totals.inUse += verdict == Verdict.MAY_HAVE_RUN ? 1 : 0;
            } else if (result.get().isPresent()) {
                totals.replays++;
                assertThat(ran).contains(result.get().get().bodyDigest());
            } else if (world.random().nextInt(8) == 0
                    || world.nowMillis() - sentMillis > RUN_LIMIT_MILLIS) {
                // No backend server took the call, or its own deadline passed.
                entry.claims().release(request);
            } else {
                run(entry, request);
            }
        }

        private void run(Entry entry, ClaimRequest request) {
            long nowMillis = world.nowMillis();
            Run before = lastRunByKey.get(request.key());
            if (before != null) {
                assertThat(before.request().expiresAtEpochMillis())
                        .as("second run of a key that is remembered")
                        .isLessThanOrEqualTo(nowMillis);
                totals.expiredRuns++;
            }
            Run run = new Run(request, entry, nowMillis);
            lastRunByKey.put(request.key(), run);
            ran.add(request.claimId());
            running.add(run);
            totals.runs++;
        }

        private void finishOne() {
            if (running.isEmpty()) {
                return;
            }
            Run run = running.remove(world.random().nextInt(running.size()));
            if (world.random().nextInt(10) == 0) {
                mayStayClaimed.add(run.request().claimId());
            } else {
                run.entry().claims().complete(run.request(), answerOf(run.request()));
            }
        }

        /** All faults end; then every request is told, and only unknown outcomes stay claimed. */
        private void settle() {
            world.heal();
            int steps = 0;
            while (!running.isEmpty() || world.stepHealthy()) {
                finishOne();
                assertThat(steps++).as("steps to settle").isLessThan(MAXIMUM_SETTLE_STEPS);
            }
            Set<String> stillOpen = new HashSet<>(open);
            stillOpen.removeIf(id -> world.belongsToDead(id));
            assertThat(stillOpen).as("never told").isEmpty();
            world.storedShard().claims().forEach(this::checkStored);
            world.storedShard().claims().forEach(this::checkResend);
        }

        /** Whatever an entry believed before, a resend finds the answer that is recorded. */
        private void checkResend(String key, Claim claim) {
            if (claim.answer().isEmpty() || claim.expiresAtEpochMillis() <= world.nowMillis()) {
                return;
            }
            for (Entry entry : world.entries()) {
                List<String> replayed = new ArrayList<>();
                ClaimRequest resend =
                        new ClaimRequest(
                                key, "resend", claim.contentDigest(), claim.expiresAtEpochMillis());
                entry.claims()
                        .claim(resend)
                        .thenAccept(r -> r.get().ifPresent(a -> replayed.add(a.bodyDigest())));
                world.runTasks();
                assertThat(replayed).as("answer to a resend").containsExactly(claim.claimId());
            }
        }

        private void checkStored(String key, Claim claim) {
            boolean expected =
                    claim.answer().isPresent()
                            || mayStayClaimed.contains(claim.claimId())
                            || world.belongsToDead(claim.claimId());
            assertThat(expected).as("claim left behind by %s", claim.claimId()).isTrue();
        }

        private static RecordedAnswer answerOf(ClaimRequest request) {
            return new RecordedAnswer(
                    200, request.claimId(), Optional.of(new RecordedAnswer.Content(List.of(), "")));
        }
    }
}
