package dev.foxtailshed.daemon.internal.manifest;

import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.manifest.ManifestStore.HeadObject;
import dev.foxtailshed.daemon.internal.platform.ObjectStore;
import dev.foxtailshed.daemon.internal.platform.PutOutcome;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.manifest.Digests;
import dev.foxtailshed.kernel.manifest.Manifest;
import dev.foxtailshed.kernel.manifest.ManifestHistoryEntry;
import dev.foxtailshed.kernel.manifest.ManifestProblem;
import dev.foxtailshed.kernel.manifest.ManifestReader;
import io.vavr.control.Either;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Accepts manifests: writes document and history entry first, then moves the head by a conditional
 * update.
 *
 * <p>The head moves only if no other change came since it was read, so that of two operators one
 * wins and the other is told which version did. When the answer to the update is lost, the same
 * update is sent again until the platform answers: whatever it answers then is final. Thread-safe.
 */
public final class ManifestSubmitter {

    private static final int SEARCH_LIMIT = 64;
    private static final int WRITE_TRIES = 2;
    private static final int SETTLE_TRIES = 8;
    private static final long SETTLE_PAUSE_MILLIS = 250;

    private final ObjectStore objects;
    private final ManifestStore manifests;
    private final ManifestHolder holder;
    private final ManifestReader reader;
    private final TimerService timer;
    private final Clock clock;

    /**
     * Creates the submitter.
     *
     * @param objects the object API
     * @param manifests reads head and history
     * @param holder applies what was accepted here at once
     * @param reader checks documents
     * @param timer paces the settling of lost answers
     * @param clock dates history entries
     */
    public ManifestSubmitter(
            ObjectStore objects,
            ManifestStore manifests,
            ManifestHolder holder,
            ManifestReader reader,
            TimerService timer,
            Clock clock) {
        this.objects = objects;
        this.manifests = manifests;
        this.holder = holder;
        this.reader = reader;
        this.timer = timer;
        this.clock = clock;
    }

    /**
     * Submits a manifest.
     *
     * @param submission the manifest and who submits it
     * @return what became of it; never completes exceptionally
     */
    public CompletableFuture<SubmitOutcome> submit(Submission submission) {
        Either<List<ManifestProblem>, Manifest> read = reader.read(submission.document());
        if (read.isLeft()) {
            return logged(submission, done(new SubmitOutcome.Invalid(read.getLeft())));
        }
        CompletableFuture<SubmitOutcome> outcome =
                manifests
                        .findSubmission(submission.submissionId(), SEARCH_LIMIT)
                        .thenCompose(
                                either ->
                                        either.fold(
                                                failure -> done(notApplied(failure)),
                                                found -> submitUnlessFound(submission, found)));
        return logged(submission, outcome);
    }

    private CompletableFuture<SubmitOutcome> submitUnlessFound(
            Submission submission, Optional<HistoryRecord> found) {
        if (found.isPresent()) {
            return done(knownAs(submission, found.get().entry()));
        }
        return manifests
                .head()
                .thenCompose(
                        either ->
                                either.fold(
                                        failure -> done(notApplied(failure)),
                                        head -> submitUpon(submission, head)));
    }

    /** This instance applies the manifest too, as the one that accepted it may be gone. */
    private SubmitOutcome knownAs(Submission submission, ManifestHistoryEntry entry) {
        if (entry.documentDigest().equals(Digests.sha256(submission.document()))) {
            holder.applyIfNewer(entry.version(), submission.document());
        }
        return new SubmitOutcome.Accepted(entry.version());
    }

    private CompletableFuture<SubmitOutcome> submitUpon(
            Submission submission, Optional<HeadObject> head) {
        long newest = head.map(h -> h.head().version()).orElse(0L);
        OptionalLong expected = submission.expectedVersion();
        if (expected.isPresent() && expected.getAsLong() != newest) {
            return done(new SubmitOutcome.Conflict(newest));
        }
        String digest = Digests.sha256(submission.document());
        if (head.filter(h -> h.head().documentDigest().equals(digest)).isPresent()) {
            return done(new SubmitOutcome.Accepted(newest));
        }
        Proposal proposal = Proposal.of(submission, digest, head, clock.millis());
        return writeOnce(proposal.headToWrite().documentName(), submission.document(), WRITE_TRIES)
                .thenCompose(
                        document ->
                                document.fold(
                                        failure -> done(notApplied(failure)),
                                        ignored -> writeEntry(proposal)));
    }

    private CompletableFuture<SubmitOutcome> writeEntry(Proposal proposal) {
        return writeOnce(proposal.record().objectName(), proposal.record().toBytes(), WRITE_TRIES)
                .thenCompose(
                        entry ->
                                entry.fold(
                                        failure -> done(notApplied(failure)),
                                        ignored -> moveHead(proposal, SETTLE_TRIES)));
    }

    /** Objects named by their digest: one that exists already is the same object. */
    private CompletableFuture<Either<StoreFailure, PutOutcome>> writeOnce(
            String name, byte[] body, int triesLeft) {
        return objects.put(name, body, OptionalLong.empty())
                .thenCompose(
                        put -> {
                            boolean lost =
                                    put.isLeft() && put.getLeft().verdict() != Verdict.NOT_RUN;
                            return lost && triesLeft > 0
                                    ? writeOnce(name, body, triesLeft - 1)
                                    : CompletableFuture.completedFuture(put);
                        });
    }

    private CompletableFuture<SubmitOutcome> moveHead(Proposal proposal, int triesLeft) {
        return objects.put(
                        ManifestHead.OBJECT_NAME,
                        proposal.headToWrite().toBytes(),
                        proposal.expectedObjectVersion())
                .thenCompose(
                        either ->
                                either.fold(
                                        failure -> settle(proposal, failure, triesLeft),
                                        put -> conclude(proposal, put)));
    }

    private CompletableFuture<SubmitOutcome> settle(
            Proposal proposal, StoreFailure failure, int triesLeft) {
        if (failure.verdict() == Verdict.NOT_RUN && triesLeft == SETTLE_TRIES) {
            return done(notApplied(failure));
        }
        if (triesLeft == 0) {
            return done(new SubmitOutcome.Unknown(failure.message()));
        }
        CompletableFuture<SubmitOutcome> later = new CompletableFuture<>();
        timer.once(
                SETTLE_PAUSE_MILLIS,
                () -> moveHead(proposal, triesLeft - 1).thenAccept(later::complete));
        return later;
    }

    private CompletableFuture<SubmitOutcome> conclude(Proposal proposal, PutOutcome put) {
        if (put instanceof PutOutcome.Stored stored) {
            manifests.noteHead(stored.version());
            return done(accept(proposal));
        }
        // The head moved: by an earlier try of this very update, or by someone else's. Only one
        // update can have replaced the version that was read, and a newer head leads back to it.
        return manifests
                .headNewerThan(proposal.expectedObjectVersion().orElse(0))
                .thenCompose(head -> concludeFrom(proposal, head));
    }

    private CompletableFuture<SubmitOutcome> concludeFrom(
            Proposal proposal, Either<StoreFailure, Optional<HeadObject>> head) {
        if (head.isRight() && head.get().isEmpty()) {
            return done(new SubmitOutcome.Unknown("the platform shows no newer manifest"));
        }
        String submissionId = proposal.record().entry().submissionId();
        return manifests
                .findSubmission(submissionId, head, SEARCH_LIMIT)
                .thenApply(
                        either ->
                                either.fold(
                                        failure -> new SubmitOutcome.Unknown(failure.message()),
                                        found ->
                                                found.isPresent()
                                                        ? accept(proposal)
                                                        : new SubmitOutcome.Conflict(
                                                                head.get()
                                                                        .get()
                                                                        .head()
                                                                        .version())));
    }

    private SubmitOutcome accept(Proposal proposal) {
        long version = proposal.headToWrite().version();
        holder.applyIfNewer(version, proposal.document());
        return new SubmitOutcome.Accepted(version);
    }

    private static SubmitOutcome notApplied(StoreFailure failure) {
        return new SubmitOutcome.NotApplied(failure.message());
    }

    private static CompletableFuture<SubmitOutcome> done(SubmitOutcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }

    private static CompletableFuture<SubmitOutcome> logged(
            Submission submission, CompletableFuture<SubmitOutcome> outcome) {
        return outcome.whenComplete(
                (result, failure) -> {
                    boolean accepted = result instanceof SubmitOutcome.Accepted;
                    EventLog.log(
                            accepted ? EventCode.MANIFEST_ACCEPTED : EventCode.MANIFEST_REFUSED,
                            Field.of("operator", submission.operator()),
                            Field.of("submission", submission.submissionId()),
                            Field.of("outcome", result));
                });
    }

    /** What a submission writes, worked out from the head that was read. */
    private record Proposal(
            byte[] document,
            HistoryRecord record,
            ManifestHead headToWrite,
            OptionalLong expectedObjectVersion) {

        static Proposal of(
                Submission submission,
                String digest,
                Optional<HeadObject> head,
                long nowEpochMillis) {
            long version = head.map(h -> h.head().version()).orElse(0L) + 1;
            String documentName = "manifest/documents/" + digest;
            ManifestHistoryEntry entry =
                    new ManifestHistoryEntry(
                            version,
                            submission.operator(),
                            submission.fromAddress(),
                            nowEpochMillis,
                            submission.submissionId(),
                            digest,
                            head.map(h -> h.head().entryDigest()).orElse(Digests.NONE));
            HistoryRecord record =
                    new HistoryRecord(
                            entry, documentName, head.map(h -> h.head().entryName()).orElse(""));
            ManifestHead next =
                    new ManifestHead(
                            version,
                            submission.submissionId(),
                            documentName,
                            digest,
                            record.objectName(),
                            entry.digest());
            OptionalLong expected =
                    head.map(h -> OptionalLong.of(h.objectVersion())).orElse(OptionalLong.empty());
            return new Proposal(submission.document(), record, next, expected);
        }
    }
}
