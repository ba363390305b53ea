package dev.foxtailshed.kernel.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Checks random interleavings against a model that counts runs and records each "not run" verdict.
 */
class LedgerInterleavingTest {

    private static final long FIRST_SEED = 20_260_101L;
    private static final int INTERLEAVINGS = 12_000;
    private static final int STEPS = 100;
    private static final int ENTRIES = 2;
    private static final int SEQUENCES = 6;
    private static final int STEPS_PER_SEQUENCE = 8;
    private static final int ATTEMPTS = 2;
    private static final LedgerSettings SETTINGS = new LedgerSettings(20, 30, 25, 60, 150, 8, 100);

    @Test
    void noAttemptRunsTwiceOrAfterNotRun() {
        int runs = 0;
        int notRun = 0;
        for (int i = 0; i < INTERLEAVINGS; i++) {
            long seed = FIRST_SEED + i;
            Interleaving interleaving = new Interleaving(seed);
            try {
                interleaving.run();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + " after " + interleaving.log, e);
            }
            runs += interleaving.runs.size();
            notRun += interleaving.notRunIds.size();
        }
        System.out.println(
                "seeds from "
                        + FIRST_SEED
                        + ", interleavings "
                        + INTERLEAVINGS
                        + ", runs "
                        + runs
                        + ", not run "
                        + notRun);
        assertThat(runs).isGreaterThan(INTERLEAVINGS);
        assertThat(notRun).isGreaterThan(INTERLEAVINGS);
    }

    /** One random sequence of events between two entries and a sidecar that may restart. */
    private static final class Interleaving {
        private final Random random;
        private final Map<AttemptId, Integer> runs = new HashMap<>();
        private final Set<AttemptId> notRunIds = new HashSet<>();
        private final Map<AttemptId, Long> incarnationById = new HashMap<>();
        private final Map<AttemptId, Long> grantEndMillis = new HashMap<>();
        private final Set<AttemptId> atBackend = new HashSet<>();
        private final Set<AttemptId> cancelling = new HashSet<>();
        private final List<String> log = new ArrayList<>();
        private ServerLedger<String> ledger;
        private long incarnation;
        private AttemptId lastOffered = new AttemptId(1, 0, 0);
        private int steps;
        private long nowMillis;
        private long version = 1;

        Interleaving(long seed) {
            random = new Random(seed);
            restart();
        }

        void run() {
            for (steps = 0; steps < STEPS; steps++) {
                step(randomId());
                ledger.checkInvariants();
            }
            finishAll();
        }

        private void step(AttemptId id) {
            int action = random.nextInt(100);
            log.add(action + ":" + id.label());
            if (action < 25) {
                offer(id);
            } else if (action < 50) {
                commit(random.nextBoolean() ? id : lastOffered);
            } else if (action < 58) {
                handle(ledger.cancel(id, nowMillis));
            } else if (action < 66) {
                query(id);
            } else if (action < 78) {
                finishOne();
            } else if (action < 92) {
                nowMillis += random.nextInt(30);
                if (random.nextBoolean()) {
                    handle(ledger.tick(nowMillis));
                }
            } else {
                injectFault(id, action);
            }
        }

        private void injectFault(AttemptId id, int action) {
            if (action < 94) {
                handle(ledger.handleConnectionLoss(id.entryIncarnation(), any -> true, nowMillis));
            } else if (action < 96) {
                handle(ledger.releaseEntry(id.entryIncarnation(), nowMillis));
            } else if (action < 98) {
                version += random.nextInt(2);
                ledger.applyLimits(version, 1 + random.nextInt(4), 4 + random.nextInt(8));
            } else if (action == 98) {
                restart();
            } else if (random.nextInt(4) == 0) {
                ledger.drain();
            }
        }

        /** Restarts the sidecar, which cancels all work at its engine that is not in its ledger. */
        private void restart() {
            incarnation++;
            ledger = new ServerLedger<>(incarnation, SETTINGS);
            ledger.applyLimits(version, 3, 8);
            atBackend.clear();
            cancelling.clear();
        }

        private void offer(AttemptId id) {
            if (firstIncarnation(id) != incarnation) {
                return;
            }
            lastOffered = id;
            AttemptKind kind = AttemptKind.values()[(int) id.sequence() % 3];
            long offerVersion = random.nextInt(8) == 0 ? version - 1 : version;
            ReservationRequest request =
                    new ReservationRequest(id, kind, offerVersion, kind.ordinal() * 2, 5, 10);
            OfferDecision decision = ledger.offer(request, nowMillis);
            if (decision instanceof OfferDecision.Refused refused) {
                checkVerdict(id, refused.failure());
            } else if (decision instanceof OfferDecision.Granted granted) {
                long endMillis = nowMillis + granted.expiresInMillis();
                assertThat(grantEndMillis.getOrDefault(id, endMillis)).isEqualTo(endMillis);
                grantEndMillis.put(id, endMillis);
            }
        }

        private void commit(AttemptId id) {
            CommitDecision decision = ledger.commit(id, nowMillis);
            if (decision instanceof CommitDecision.Refused refused) {
                checkVerdict(id, refused.failure());
            } else if (decision instanceof CommitDecision.Run) {
                assertThat(runs.merge(id, 1, Integer::sum)).as("runs of %s", id).isEqualTo(1);
                assertThat(notRunIds).doesNotContain(id);
                assertThat(nowMillis).isLessThan(grantEndMillis.get(id));
                atBackend.add(id);
            }
        }

        private void query(AttemptId id) {
            long targetIncarnation = firstIncarnation(id);
            if (ledger.query(id, targetIncarnation, nowMillis)
                    instanceof QueryDecision.Known<String> known) {
                checkVerdict(id, known.verdict());
            } else {
                assertThat(atBackend).contains(id);
            }
        }

        /**
         * Returns the only sidecar incarnation with which an entry uses an attempt id: the first
         * one.
         */
        private long firstIncarnation(AttemptId id) {
            return incarnationById.computeIfAbsent(id, key -> incarnation);
        }

        private void finishOne() {
            Optional<AttemptId> id = atBackend.stream().findAny();
            if (id.isEmpty()) {
                return;
            }
            boolean prefill = id.get().sequence() % 3 == AttemptKind.PREFILL.ordinal();
            if (cancelling.remove(id.get())) {
                atBackend.remove(id.get());
                handle(ledger.confirmCancellation(id.get(), nowMillis));
            } else if (!prefill || !ledger.recordExport(id.get(), nowMillis)) {
                atBackend.remove(id.get());
                handle(ledger.finish(id.get(), Verdict.RAN, Optional.of("a"), 60, nowMillis));
            }
        }

        private void handle(List<LedgerEffect> effects) {
            for (LedgerEffect effect : effects) {
                if (effect instanceof LedgerEffect.CancelWork cancel) {
                    assertThat(atBackend).contains(cancel.attemptId());
                    cancelling.add(cancel.attemptId());
                } else if (effect instanceof LedgerEffect.OutcomeKnown outcome) {
                    query(outcome.attemptId());
                }
            }
        }

        private void checkVerdict(AttemptId id, RequestFailure failure) {
            checkVerdict(id, failure.verdict());
        }

        private void checkVerdict(AttemptId id, Verdict verdict) {
            if (verdict == Verdict.NOT_RUN) {
                assertThat(runs).as("reported not run").doesNotContainKey(id);
                notRunIds.add(id);
            } else if (verdict == Verdict.RAN) {
                assertThat(runs).as("reported ran").containsKey(id);
            }
        }

        /** Releases all entries and finishes all work at the backend server. */
        private void finishAll() {
            for (int entry = 1; entry <= ENTRIES; entry++) {
                handle(ledger.releaseEntry(entry, nowMillis));
            }
            while (!atBackend.isEmpty()) {
                finishOne();
            }
            nowMillis += SETTINGS.leaseMillis();
            ledger.tick(nowMillis);
            ledger.checkInvariants();
            assertThat(ledger.snapshot().usedSlots()).isZero();
            assertThat(ledger.snapshot().usedPieces()).isZero();
            assertThat(ledger.snapshot().liveReservations()).isZero();
        }

        private AttemptId randomId() {
            return new AttemptId(
                    1 + random.nextInt(ENTRIES),
                    steps / STEPS_PER_SEQUENCE + random.nextInt(SEQUENCES),
                    random.nextInt(ATTEMPTS));
        }
    }
}
