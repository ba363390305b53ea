package dev.foxtailshed.kernel.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.Verdict;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests each guarantee of the ledger. */
class ServerLedgerTest {

    private static final long INCARNATION = 7;
    private static final long ENTRY = 1;
    private static final LedgerSettings SETTINGS =
            new LedgerSettings(100, 500, 50, 1_000, 5_000, 4, 64);

    private final ServerLedger<String> ledger = new ServerLedger<>(INCARNATION, SETTINGS);

    @BeforeEach
    void setLimits() {
        ledger.applyLimits(3, 2, 10);
    }

    @ParameterizedTest
    @EnumSource(AttemptKind.class)
    void commitAfterTheGrantExpiredNeverRuns(AttemptKind kind) {
        OfferDecision offer = ledger.offer(new ReservationRequest(id(1), kind, 3, 4, 0, 200), 0);

        long expiresInMillis = kind == AttemptKind.DECODE ? 300 : 100;
        assertThat(offer).isEqualTo(new OfferDecision.Granted(expiresInMillis));
        assertRefused(ledger.commit(id(1), expiresInMillis), Verdict.NOT_RUN);
        assertThat(ledger.offer(new ReservationRequest(id(1), kind, 3, 4, 0, 0), expiresInMillis))
                .isInstanceOf(OfferDecision.Refused.class);
        assertAllFree();
    }

    @Test
    void refusalHasAReasonAndIsFinal() {
        assertThat(refusal(offer(id(1), 2, 1, 0))).isEqualTo(ErrorCode.VERSION_CONFLICT);
        assertThat(refusal(offer(id(2), 3, 11, 0))).isEqualTo(ErrorCode.OVERLOADED);
        ledger.setSuspended(true);
        assertThat(refusal(offer(id(4), 3, 1, 0))).isEqualTo(ErrorCode.NO_SERVER);
        ledger.drain();
        assertThat(refusal(offer(id(3), 3, 1, 0))).isEqualTo(ErrorCode.DRAINING);
        assertRefused(ledger.commit(id(2), 0), Verdict.NOT_RUN);
    }

    @Test
    void olderLimitsAreIgnoredAndLowerOnesWaitForWorkToEnd() {
        offer(id(1), 3, 8, 0);
        assertThat(ledger.applyLimits(4, 1, 4)).isTrue();
        assertThat(ledger.applyLimits(3, 2, 10)).isFalse();

        ledger.checkInvariants();
        assertThat(refusal(offer(id(2), 4, 1, 0))).isEqualTo(ErrorCode.OVERLOADED);
        ledger.cancel(id(1), 0);
        assertThat(offer(id(3), 4, 4, 0)).isInstanceOf(OfferDecision.Granted.class);
    }

    @Test
    void queryBeforeTheCommitPreventsTheRun() {
        offer(id(1), 3, 1, 0);

        assertThat(ledger.query(id(1), INCARNATION, 1)).isEqualTo(known(Verdict.NOT_RUN));
        assertThat(ledger.query(id(2), INCARNATION, 1)).isEqualTo(known(Verdict.NOT_RUN));
        assertThat(ledger.query(id(2), INCARNATION - 1, 1)).isEqualTo(known(Verdict.MAY_HAVE_RUN));
        assertRefused(ledger.commit(id(1), 2), Verdict.NOT_RUN);
        assertRefused(ledger.commit(id(2), 2), Verdict.NOT_RUN);
        assertThat(refusal(offer(id(2), 3, 1, 2))).isEqualTo(ErrorCode.TIMEOUT);
        assertRefused(ledger.commit(id(3), 2), Verdict.MAY_HAVE_RUN);
    }

    @Test
    void queryOfRunningWorkIsAnsweredWhenItEnds() {
        run(id(1), AttemptKind.CALL);

        assertThat(ledger.query(id(1), INCARNATION, 1)).isEqualTo(new QueryDecision.Running<>());
        assertThat(ledger.finish(id(1), Verdict.RAN, Optional.of("done"), 4, 2))
                .containsExactly(new LedgerEffect.OutcomeKnown(id(1)));
        assertThat(ledger.query(id(1), INCARNATION, 3))
                .isEqualTo(new QueryDecision.Known<>(Verdict.RAN, Optional.of("done")));
        assertThat(ledger.commit(id(1), 4)).isEqualTo(new CommitDecision.AlreadyCommitted());
    }

    @Test
    void evictionOfRecordsIsSafe() {
        run(id(1), AttemptKind.CALL);
        ledger.finish(id(1), Verdict.RAN, Optional.of("x".repeat(40)), 40, 0);
        run(id(2), AttemptKind.CALL);
        ledger.finish(id(2), Verdict.RAN, Optional.of("y".repeat(40)), 40, 0);
        assertThat(ledger.query(id(1), INCARNATION, 0)).isEqualTo(known(Verdict.RAN));
        for (int sequence = 3; sequence < 8; sequence++) {
            offer(id(sequence), 2, 1, 1);
        }

        assertThat(ledger.snapshot().endedRecords()).isEqualTo(4);
        assertThat(ledger.query(id(1), INCARNATION, 2)).isEqualTo(known(Verdict.MAY_HAVE_RUN));
        assertThat(ledger.query(id(3), INCARNATION, 2)).isEqualTo(known(Verdict.NOT_RUN));
        assertThat(refusal(offer(id(1), 3, 1, 2))).isEqualTo(ErrorCode.TIMEOUT);
        assertRefused(ledger.commit(id(1), 2), Verdict.MAY_HAVE_RUN);
    }

    @Test
    void exportReleasesItsSlotAndIsCancelledAtItsDeadline() {
        run(id(1), AttemptKind.PREFILL);
        assertThat(ledger.snapshot().queuedTokens()).isEqualTo(9);
        assertThat(ledger.recordExport(id(1), 10)).isTrue();

        assertThat(ledger.snapshot().freeSlots()).isEqualTo(2);
        assertThat(ledger.snapshot().freePieces()).isEqualTo(8);
        assertThat(ledger.tick(59)).isEmpty();
        assertThat(ledger.tick(60)).containsExactly(new LedgerEffect.CancelWork(id(1)));
        assertThat(ledger.snapshot().freePieces()).isEqualTo(8);
        ledger.confirmCancellation(id(1), 61);
        assertAllFree();
    }

    @Test
    void lostEntryCancelsModelWorkButNotRunningCalls() {
        run(id(1), AttemptKind.CALL);
        run(id(2), AttemptKind.DECODE);

        assertThat(ledger.handleConnectionLoss(ENTRY, id -> true, 1))
                .containsExactly(new LedgerEffect.CancelWork(id(2)));
        assertThat(ledger.tick(1_000)).containsExactly(new LedgerEffect.LeaseExpired(ENTRY));
        ledger.confirmCancellation(id(2), 1_001);
        assertThat(ledger.snapshot().liveReservations()).isEqualTo(1);
        ledger.finish(id(1), Verdict.RAN, Optional.empty(), 0, 1_002);
        assertAllFree();
    }

    private void run(AttemptId id, AttemptKind kind) {
        assertThat(ledger.offer(new ReservationRequest(id, kind, 3, 2, 9, 0), 0))
                .isInstanceOf(OfferDecision.Granted.class);
        assertThat(ledger.commit(id, 0)).isEqualTo(new CommitDecision.Run());
    }

    private OfferDecision offer(AttemptId id, long version, int pieces, long nowMillis) {
        return ledger.offer(
                new ReservationRequest(id, AttemptKind.PREFILL, version, pieces, 9, 0), nowMillis);
    }

    private static ErrorCode refusal(OfferDecision decision) {
        return ((OfferDecision.Refused) decision).failure().code();
    }

    private static QueryDecision<String> known(Verdict verdict) {
        return new QueryDecision.Known<>(verdict, Optional.empty());
    }

    private static void assertRefused(CommitDecision decision, Verdict verdict) {
        assertThat(((CommitDecision.Refused) decision).failure().verdict()).isEqualTo(verdict);
    }

    private void assertAllFree() {
        ledger.checkInvariants();
        assertThat(ledger.snapshot().usedSlots()).isZero();
        assertThat(ledger.snapshot().usedPieces()).isZero();
    }

    private static AttemptId id(int sequence) {
        return new AttemptId(ENTRY, sequence, 0);
    }
}
