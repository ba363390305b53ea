package dev.foxtailshed.kernel.record;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.record.RecordFinding.Kind;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the findings for records of entries and sidecars that agree, contradict or have gaps. */
class RecordVerifierTest {

    private static final RecordChainId ENTRY =
            new RecordChainId(RecordChainId.Side.ENTRY, "entry-1", "a1");
    private static final RecordChainId SIDECAR =
            new RecordChainId(RecordChainId.Side.SIDECAR, "s1", "b2");
    private static final long END = 100_000;
    private static final long LATER = 200_000;
    private static final long MUCH_LATER = 9_000_000;

    @Test
    void consistentRecordsYieldNoFinding() {
        assertThat(verify(List.of(reported("a1-1-0", Verdict.RAN)), List.of(ran("a1-1-0"))))
                .isEmpty();
        assertThat(verify(List.of(reported("a1-1-0", Verdict.NOT_RUN)), List.of())).isEmpty();
        assertThat(verify(List.of(reported("a1-1-0", Verdict.MAY_HAVE_RUN)), List.of())).isEmpty();
    }

    @Test
    void runReportedAsNotRunIsADisagreement() {
        List<RecordFinding> findings =
                verify(List.of(reported("a1-1-0", Verdict.NOT_RUN)), List.of(ran("a1-1-0")));
        assertThat(findings).isNotEmpty().allMatch(f -> f.kind() == Kind.DISAGREEMENT);
    }

    @Test
    void answerWithoutARunIsADisagreement() {
        assertThat(verify(List.of(reported("a1-1-0", Verdict.RAN)), List.of()))
                .extracting(RecordFinding::kind)
                .containsExactly(Kind.DISAGREEMENT);
    }

    @Test
    void runWithoutEntryRecordIsADisagreement() {
        assertThat(verify(List.of(), List.of(ran("a1-7-0"))))
                .extracting(RecordFinding::kind)
                .containsExactly(Kind.DISAGREEMENT);
    }

    @Test
    void secondRunOfANonRepeatableRequestIsADisagreement() {
        RequestRecord request = reported(List.of("a1-1-0", "a1-2-1"), Verdict.RAN, false);
        List<RunRecord> runs = List.of(ran("a1-1-0"), ran("a1-2-1"));
        assertThat(verify(List.of(request), runs))
                .extracting(RecordFinding::kind)
                .containsExactly(Kind.DISAGREEMENT);
    }

    @Test
    void missingTailOfTheOtherSideIsAGap() {
        DecodedChain entry =
                chain(ENTRY, List.of(reported("a1-1-0", Verdict.RAN)), List.of(), LATER);
        DecodedChain sidecar = chain(SIDECAR, List.of(), List.of(), END - 1);
        assertThat(RecordVerifier.verify(List.of(entry, sidecar), AuditWindow.all(MUCH_LATER)))
                .extracting(RecordFinding::kind)
                .containsExactly(Kind.GAP);
    }

    @Test
    void recentTailOfTheOtherSideIsPending() {
        DecodedChain entry =
                chain(ENTRY, List.of(reported("a1-1-0", Verdict.RAN)), List.of(), LATER);
        assertThat(RecordVerifier.verify(List.of(entry), AuditWindow.all(END + 1)))
                .extracting(RecordFinding::kind)
                .containsExactly(Kind.PENDING);
    }

    @Test
    void requestsOutsideTheWindowAreNotCompared() {
        DecodedChain entry =
                chain(ENTRY, List.of(reported("a1-1-0", Verdict.RAN)), List.of(), LATER);
        AuditWindow before = new AuditWindow(0, END, MUCH_LATER);
        assertThat(RecordVerifier.verify(List.of(entry), before)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void eachMissingBatchIsDetected(int missing) {
        List<byte[]> stored = storedChain(4);
        stored.remove(missing);
        assertThat(DecodedChain.of(ENTRY, stored).findings()).isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void eachChangedBatchIsDetected(int changed) {
        List<byte[]> stored = storedChain(4);
        RecordBatch before = RecordCodec.decode(stored.get(changed)).orElseThrow();
        RecordBatch tampered =
                new RecordBatch(
                        ENTRY,
                        before.sequence(),
                        before.previousDigest(),
                        before.untilEpochMillis() + 1,
                        0,
                        false,
                        List.of(),
                        List.of());
        stored.set(changed, RecordCodec.encode(tampered));
        assertThat(DecodedChain.of(ENTRY, stored).findings())
                .extracting(RecordFinding::kind)
                .containsExactly(Kind.BROKEN_LINK);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 9, 40})
    void changedByteIsDetected(int position) {
        List<byte[]> stored = storedChain(3);
        stored.get(1)[position] ^= 1;
        assertThat(DecodedChain.of(ENTRY, stored).findings())
                .extracting(RecordFinding::kind)
                .contains(Kind.BROKEN_LINK);
    }

    @Test
    void unreadableBatchIsDetected() {
        List<byte[]> stored = storedChain(3);
        stored.set(1, "{}".getBytes(StandardCharsets.UTF_8));
        assertThat(DecodedChain.of(ENTRY, stored).findings())
                .extracting(RecordFinding::kind)
                .contains(Kind.BROKEN_LINK);
    }

    private static List<RecordFinding> verify(List<RequestRecord> requests, List<RunRecord> runs) {
        return RecordVerifier.verify(
                List.of(
                        chain(ENTRY, requests, List.of(), LATER),
                        chain(SIDECAR, List.of(), runs, LATER)),
                AuditWindow.all(MUCH_LATER));
    }

    private static DecodedChain chain(
            RecordChainId name, List<RequestRecord> requests, List<RunRecord> runs, long until) {
        RecordBatch batch =
                new RecordBatch(
                        name, 1, RecordBatch.NO_PREVIOUS_DIGEST, until, 0, false, requests, runs);
        return DecodedChain.of(name, List.of(RecordCodec.encode(batch)));
    }

    private static List<byte[]> storedChain(int length) {
        List<byte[]> stored = new ArrayList<>();
        String previous = RecordBatch.NO_PREVIOUS_DIGEST;
        for (int i = 1; i <= length; i++) {
            RecordBatch batch =
                    new RecordBatch(ENTRY, i, previous, i, 0, false, List.of(), List.of());
            stored.add(RecordCodec.encode(batch));
            previous = RecordCodec.digest(stored.get(i - 1));
        }
        return stored;
    }

    private static RequestRecord reported(String attempt, Verdict verdict) {
        return reported(List.of(attempt), verdict, true);
    }

    private static RequestRecord reported(
            List<String> attempts, Verdict verdict, boolean repeatable) {
        List<AttemptRecord> records =
                attempts.stream()
                        .map(id -> new AttemptRecord(id, "s1", "call", verdict, ""))
                        .toList();
        return new RequestRecord(
                "a1-1", END, "orders", "order", repeatable, verdict, "", 5, 0, records);
    }

    private static RunRecord ran(String attempt) {
        return new RunRecord(attempt, "call", END, Verdict.RAN, "");
    }
}
