package dev.foxtailshed.daemon.internal.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.daemon.internal.sidecar.SidecarFixture.FakeConnection;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.Message.KvExport;
import dev.foxtailshed.wire.Message.StoredAnswer;
import dev.foxtailshed.wire.WorkKind;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests the guarantees of a sidecar towards entries and its backend server. */
class SidecarTest {

    private static final long ENTRY = 1;
    private static final KvExport EXPORT = new KvExport("h", "http://127.0.0.1:1", 900);
    private static final Message.Work CALL =
            new Message.CallWork("POST", "/orders", List.of(), new byte[0], 1_000);
    private static final Message.Work PREFILL = new Message.PrefillWork("m", "p", 0, 1_000);
    private static final Message.Work DECODE =
            new Message.DecodeWork("m", "p", "", 0, 9, 0, 1_000, EXPORT);

    private final SidecarFixture fixture = new SidecarFixture();

    @Test
    void acceptsNoWorkBeforeOrphanedRequestsAreReleased() throws Exception {
        fixture.driver.held.complete(Either.right(List.of("old-1")));
        fixture.sidecar.start();
        FakeConnection entry = fixture.server.connect(ENTRY);
        entry.deliver(new Message.ManifestDocument(5, "2,10".getBytes()));

        offer(entry, 1, WorkKind.DECODE);
        assertThat(lastRefusalCode(entry)).isEqualTo(ErrorCode.NO_MANIFEST.label());
        fixture.driver.released.get("old-1").complete(null);
        offer(entry, 2, WorkKind.DECODE);

        assertThat(entry.takeWorkMessages()).containsExactly(new Message.Grant(id(2), 150));
        assertThat(fixture.events.lines).contains("orphan old-1", "applied 5");
    }

    @Test
    void outcomeOfACallIsReportedAfterAReconnect() throws Exception {
        FakeConnection entry = fixture.startWithEntry(ENTRY);
        startWork(entry, 1, WorkKind.CALL, CALL);
        entry.close();

        FakeConnection reconnected = fixture.server.connect(ENTRY);
        reconnected.deliver(new Message.OutcomeQuery(id(1), SidecarFixture.INCARNATION));
        assertThat(reconnected.takeWorkMessages()).isEmpty();
        BackendListener backend = fixture.driver.started.get(id(1));
        backend.onHead(201, List.of());
        backend.onPart("made".getBytes(), 0, () -> {});
        backend.onEnd("", 0, 0);

        assertThat(reconnected.takeWorkMessages())
                .usingRecursiveFieldByFieldElementComparator()
                .containsExactly(
                        new Message.Outcome(
                                id(1),
                                Verdict.RAN,
                                Optional.of(new StoredAnswer(201, List.of(), "made".getBytes()))));
        assertThat(fixture.driver.cancelled).isEmpty();
    }

    @Test
    void lateOrForeignCommitNeverReachesTheBackendServer() throws Exception {
        FakeConnection entry = fixture.startWithEntry(ENTRY);
        offer(entry, 1, WorkKind.CALL);
        fixture.timer.advance(110);
        entry.takeWorkMessages();

        entry.deliver(new Message.Commit(id(1), CALL));
        assertThat(lastRefusalCode(entry)).isEqualTo(ErrorCode.TIMEOUT.label());
        entry.deliver(new Message.Commit(new AttemptId(9, 1, 0), CALL));
        assertThat(entry.open).isFalse();
        assertThat(fixture.driver.started).isEmpty();
    }

    @Test
    void closedConnectionCancelsOnlyItsOwnModelWork() throws Exception {
        FakeConnection first = fixture.startWithEntry(ENTRY);
        FakeConnection second = fixture.server.connect(ENTRY);
        startWork(first, 1, WorkKind.DECODE, DECODE);
        startWork(second, 2, WorkKind.DECODE, DECODE);

        first.close();

        assertThat(fixture.driver.cancelled).containsOnlyKeys(id(1));
        offer(second, 3, WorkKind.DECODE);
        assertThat(lastRefusalCode(second)).isEqualTo(ErrorCode.OVERLOADED.label());
        fixture.driver.cancelled.get(id(1)).complete(null);
        offer(second, 4, WorkKind.DECODE);
        assertThat(second.takeWorkMessages()).containsExactly(new Message.Grant(id(4), 150));
    }

    @Test
    void expiredLeaseReleasesAnExportAndClosesTheConnection() throws Exception {
        FakeConnection entry = fixture.startWithEntry(ENTRY);
        fixture.timer.advance(SidecarFixture.LEASE_MILLIS - 100);
        startWork(entry, 1, WorkKind.PREFILL, PREFILL);
        fixture.driver.started.get(id(1)).onPrefilled(EXPORT, 8, 3);

        assertThat(entry.takeWorkMessages())
                .containsExactly(new Message.Prefilled(id(1), EXPORT, 8, 3));
        fixture.timer.advance(SidecarFixture.LEASE_MILLIS);
        assertThat(fixture.driver.cancelled).containsOnlyKeys(id(1));
        assertThat(entry.open).isFalse();
        assertThat(fixture.events.lines).contains("lease 1");
    }

    @Test
    void drainRefusesNewWorkAndEndsWhenAllAnswersAreSent() throws Exception {
        FakeConnection entry = fixture.startWithEntry(ENTRY);
        startWork(entry, 1, WorkKind.CALL, CALL);
        CompletableFuture<Void> drained = fixture.sidecar.drain();
        offer(entry, 2, WorkKind.CALL);
        assertThat(lastRefusalCode(entry)).isEqualTo(ErrorCode.DRAINING.label());

        sendHeartbeats(entry, 500);
        assertThat(drained).isNotDone();
        entry.queuedBytes = 10;
        fixture.driver.started.get(id(1)).onEnd("", 0, 0);
        sendHeartbeats(entry, 100);
        assertThat(drained).isNotDone();
        entry.queuedBytes = 0;
        sendHeartbeats(entry, 100);
        assertThat(drained).isDone();
        assertThat(entry.takeWorkMessages()).contains(new Message.AnswerEnd(id(1), 0, "", 0, 0));
    }

    @Test
    void readsNoFasterThanTheEntryReceives() throws Exception {
        FakeConnection entry = fixture.startWithEntry(ENTRY);
        startWork(entry, 1, WorkKind.DECODE, DECODE);
        AtomicInteger demands = new AtomicInteger();
        BackendListener backend = fixture.driver.started.get(id(1));

        entry.queuedBytes = 101;
        backend.onPart("a".getBytes(), 1, demands::incrementAndGet);
        fixture.timer.advance(50);
        assertThat(demands).hasValue(0);
        entry.queuedBytes = 100;
        fixture.timer.advance(10);
        assertThat(demands).hasValue(1);
        backend.onFailure(RequestFailure.of(Verdict.RAN, ErrorCode.INCOMPLETE_ANSWER, "broke off"));
        assertThat(entry.takeWorkMessages())
                .last()
                .isEqualTo(
                        new Message.Failed(id(1), Verdict.RAN, "incomplete_answer", "broke off"));
    }

    @Test
    void requestsNewerManifestsAndNeverAppliesOlderOnes() throws Exception {
        FakeConnection entry = fixture.startWithEntry(ENTRY);
        entry.deliver(new Message.Heartbeat(6));
        entry.deliver(new Message.Heartbeat(6));
        assertThat(entry.takeWorkMessages()).containsExactly(new Message.ManifestRequest(5));

        entry.deliver(new Message.ManifestDocument(6, "1,1".getBytes()));
        entry.deliver(new Message.ManifestDocument(5, "9,9".getBytes()));
        entry.deliver(new Message.ManifestDocument(7, "nonsense".getBytes()));
        entry.deliver(new Message.ManifestRequest(5));
        Message.ManifestDocument held = (Message.ManifestDocument) entry.takeWorkMessages().get(0);

        assertThat(held.version()).isEqualTo(6);
        assertThat(held.document()).isEqualTo("1,1".getBytes());
        assertThat(fixture.events.lines).contains("rejected 7").doesNotContain("applied 7");
        offer(entry, 1, WorkKind.CALL);
        assertThat(lastRefusalCode(entry)).isEqualTo(ErrorCode.VERSION_CONFLICT.label());
    }

    @Test
    void attemptThatEndsDuringReconciliationIsNotAnOrphan() throws Exception {
        FakeConnection entry = fixture.startWithEntry(ENTRY);
        startWork(entry, 1, WorkKind.DECODE, DECODE);
        fixture.driver.held = new CompletableFuture<>();
        sendHeartbeats(entry, 500);
        fixture.driver.started.get(id(1)).onEnd("stop", 1, 0);

        fixture.driver.held.complete(Either.right(List.of(id(1).label(), "leaked")));

        assertThat(fixture.driver.released).containsOnlyKeys("leaked");
    }

    @Test
    void unreachableBackendServerDoesNotAppearIdle() throws Exception {
        FakeConnection entry = fixture.startWithEntry(ENTRY);
        startWork(entry, 1, WorkKind.CALL, CALL);
        fixture.driver.held = new CompletableFuture<>();
        BackendListener backend = fixture.driver.started.get(id(1));
        backend.onFailure(RequestFailure.notRun(ErrorCode.NO_SERVER, "refused"));
        offer(entry, 2, WorkKind.CALL);
        assertThat(lastRefusalCode(entry)).isEqualTo(ErrorCode.NO_SERVER.label());

        sendHeartbeats(entry, 500);
        fixture.driver.held.complete(Either.right(List.of()));
        offer(entry, 3, WorkKind.CALL);
        assertThat(entry.takeWorkMessages()).containsExactly(new Message.Grant(id(3), 100));
    }

    @Test
    void sendsAtMostOneLoadReportPerGap() throws Exception {
        FakeConnection entry = fixture.startWithEntry(ENTRY);
        fixture.timer.advance(100);
        entry.sent.clear();

        startWork(entry, 1, WorkKind.DECODE, DECODE);
        startWork(entry, 2, WorkKind.DECODE, DECODE);
        assertThat(entry.sent).filteredOn(Message.LoadReport.class::isInstance).hasSize(1);
        fixture.timer.advance(20);
        assertThat(entry.sent)
                .filteredOn(Message.LoadReport.class::isInstance)
                .last()
                .isEqualTo(new Message.LoadReport(5, false, 0, 4, 0, 1_800));
    }

    private void sendHeartbeats(FakeConnection entry, long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 100) {
            entry.deliver(new Message.Heartbeat(SidecarFixture.VERSION));
            fixture.timer.advance(100);
        }
    }

    private static void startWork(
            FakeConnection entry, int sequence, WorkKind kind, Message.Work work) {
        offer(entry, sequence, kind);
        entry.deliver(new Message.Commit(id(sequence), work));
        entry.sent.removeIf(Message.Grant.class::isInstance);
    }

    private static void offer(FakeConnection entry, int sequence, WorkKind kind) {
        int pieces = kind == WorkKind.CALL ? 0 : 3;
        entry.deliver(
                new Message.Offer(
                        id(sequence), kind, "d", SidecarFixture.VERSION, pieces, 8, 0, 50));
    }

    private static String lastRefusalCode(FakeConnection entry) {
        List<Message> answers = entry.takeWorkMessages();
        return ((Message.Refuse) answers.get(answers.size() - 1)).reason();
    }

    private static AttemptId id(int sequence) {
        return new AttemptId(ENTRY, sequence, 0);
    }
}
