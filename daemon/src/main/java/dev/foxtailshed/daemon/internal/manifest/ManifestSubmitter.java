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
 * Accepts manifests: stores document and history entry first, then moves the head by a conditional
 * update.
 *
 * <p>The head moves only if it has not changed since it was read, so that of two concurrent
 * submissions one is accepted and the other gets the accepted version in its conflict. If the
 * response to the update is lost, the same update is sent again until the platform responds; that
 * response is final. Thread-safe.
 */
public final class ManifestSubmitter {

    private static final int HISTORY_SEARCH_LIMIT = 64;
    private static final int WRITE_RETRIES = 2;
    private static final int HEAD_RETRIES = 8;
    private static final long HEAD_RETRY_MILLIS = 250;

    private final ObjectStore objects;
    private final ManifestStore manifests;
    private final ManifestHolder holder;
    private final ManifestReader reader;
    private final TimerService timer;
    private final Clock clock;

    /**
     * Creates a submitter.
     *
     * @param objects the object API
     * @param manifests reads head and history
     * @param holder applies accepted manifests at this instance at once
     * @param reader checks documents
     * @param timer schedules retries after lost responses
     * @param clock provides the times of history entries
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
     * @return the outcome; never completes exceptionally
     */
    public CompletableFuture<SubmitOutcome> submit(Submission submission) {
        Either<List<ManifestProblem>, Manifest> read = reader.read(submission.document());
        if (read.isLeft()) {
            return withLogging(submission, completed(new SubmitOutcome.Invalid(read.getLeft())));
        }
        CompletableFuture<SubmitOutcome> outcome =
                manifests
                        .findSubmission(submission.submissionId(), HISTORY_SEARCH_LIMIT)
                        .thenCompose(
                                either ->
                                        either.fold(
                                                failure -> completed(notApplied(failure)),
                                                found -> submitUnlessFound(submission, found)));
        return withLogging(submission, outcome);
    }

    private CompletableFuture<SubmitOutcome> submitUnlessFound(
            Submission submission, Optional<HistoryRecord> found) {
        if (found.isPresent()) {
            return completed(acceptedEarlier(submission, found.get().entry()));
        }
        return manifests
                .head()
                .thenCompose(
                        either ->
                                either.fold(
                                        failure -> completed(notApplied(failure)),
                                        head -> submitOnHead(submission, head)));
    }

    /**
     * Returns the outcome of a submission that was accepted earlier. The manifest is also applied
     * here, since the instance that accepted it may be unavailable.
     */
    private SubmitOutcome acceptedEarlier(Submission submission, ManifestHistoryEntry entry) {
        if (entry.documentDigest().equals(Digests.sha256(submission.document()))) {
            holder.applyIfNewer(entry.version(), submission.document());
        }
        return new SubmitOutcome.Accepted(entry.version());
    }

    private CompletableFuture<SubmitOutcome> submitOnHead(
            Submission submission, Optional<HeadObject> head) {
        long newest = head.map(h -> h.head().version()).orElse(0L);
        OptionalLong expected = submission.expectedVersion();
        if (expected.isPresent() && expected.getAsLong() != newest) {
            return completed(new SubmitOutcome.Conflict(newest));
        }
        String digest = Digests.sha256(submission.document());
        if (head.filter(h -> h.head().documentDigest().equals(digest)).isPresent()) {
            return completed(new SubmitOutcome.Accepted(newest));
        }
        Proposal proposal = Proposal.of(submission, digest, head, clock.millis());
        return writeOnce(proposal.newHead().documentName(), submission.document(), WRITE_RETRIES)
                .thenCompose(
                        document ->
                                document.fold(
                                        failure -> completed(notApplied(failure)),
                                        ignored -> writeEntry(proposal)));
    }

    private CompletableFuture<SubmitOutcome> writeEntry(Proposal proposal) {
        return writeOnce(proposal.record().objectName(), proposal.record().toBytes(), WRITE_RETRIES)
                .thenCompose(
                        entry ->
                                entry.fold(
                                        failure -> completed(notApplied(failure)),
                                        ignored -> moveHead(proposal, HEAD_RETRIES)));
    }

    /**
     * Stores an object that is named by its digest. If the name already exists, the object is the
     * same.
     */
    private CompletableFuture<Either<StoreFailure, PutOutcome>> writeOnce(
            String name, byte[] body, int retriesLeft) {
        return objects.put(name, body, OptionalLong.empty())
                .thenCompose(
                        put -> {
                            boolean responseLost =
                                    put.isLeft() && put.getLeft().verdict() != Verdict.NOT_RUN;
                            return responseLost && retriesLeft > 0
                                    ? writeOnce(name, body, retriesLeft - 1)
                                    : CompletableFuture.completedFuture(put);
                        });
    }

    private CompletableFuture<SubmitOutcome> moveHead(Proposal proposal, int retriesLeft) {
        return objects.put(
                        ManifestHead.OBJECT_NAME,
                        proposal.newHead().toBytes(),
                        proposal.expectedObjectVersion())
                .thenCompose(
                        either ->
                                either.fold(
                                        failure -> retryUnresolved(proposal, failure, retriesLeft),
                                        put -> resolve(proposal, put)));
    }

    private CompletableFuture<SubmitOutcome> retryUnresolved(
            Proposal proposal, StoreFailure failure, int retriesLeft) {
        if (failure.verdict() == Verdict.NOT_RUN && retriesLeft == HEAD_RETRIES) {
            return completed(notApplied(failure));
        }
        if (retriesLeft == 0) {
            return completed(new SubmitOutcome.Unknown(failure.message()));
        }
        CompletableFuture<SubmitOutcome> retried = new CompletableFuture<>();
        timer.once(
                HEAD_RETRY_MILLIS,
                () -> moveHead(proposal, retriesLeft - 1).thenAccept(retried::complete));
        return retried;
    }

    private CompletableFuture<SubmitOutcome> resolve(Proposal proposal, PutOutcome put) {
        if (put instanceof PutOutcome.Stored stored) {
            manifests.recordHeadVersion(stored.version());
            return completed(applyAccepted(proposal));
        }
        // The head has moved, either by an earlier attempt of this update or by another submission.
        // Only one update can have replaced the version that was read, and a newer head leads back
        // to it.
        return manifests
                .headNewerThan(proposal.expectedObjectVersion().orElse(0))
                .thenCompose(head -> resolveFromHead(proposal, head));
    }

    private CompletableFuture<SubmitOutcome> resolveFromHead(
            Proposal proposal, Either<StoreFailure, Optional<HeadObject>> head) {
        if (head.isRight() && head.get().isEmpty()) {
            return completed(new SubmitOutcome.Unknown("the platform returned no newer manifest"));
        }
        String submissionId = proposal.record().entry().submissionId();
        return manifests
                .findSubmission(submissionId, head, HISTORY_SEARCH_LIMIT)
                .thenApply(
                        either ->
                                either.fold(
                                        failure -> new SubmitOutcome.Unknown(failure.message()),
                                        found ->
                                                found.isPresent()
                                                        ? applyAccepted(proposal)
                                                        : new SubmitOutcome.Conflict(
                                                                head.get()
                                                                        .get()
                                                                        .head()
                                                                        .version())));
    }

    private SubmitOutcome applyAccepted(Proposal proposal) {
        long version = proposal.newHead().version();
        holder.applyIfNewer(version, proposal.document());
        return new SubmitOutcome.Accepted(version);
    }

    private static SubmitOutcome notApplied(StoreFailure failure) {
        return new SubmitOutcome.NotApplied(failure.message());
    }

    private static CompletableFuture<SubmitOutcome> completed(SubmitOutcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }

    private static CompletableFuture<SubmitOutcome> withLogging(
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

    /** The objects that a submission writes, computed from the head that was read. */
    private record Proposal(
            byte[] document,
            HistoryRecord record,
            ManifestHead newHead,
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
