package dev.foxtailshed.daemon.internal.manifest;

import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.platform.ObjectStore;
import dev.foxtailshed.daemon.internal.platform.StoredObject;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * Reads manifests and their history from the object API.
 *
 * <p>The head object refers to the newest history entry; each entry refers to the previous one and
 * to its document. Entries and documents are named by their digests and never change. A plain read
 * of the head may be stale: if it returns an older version than one seen before, the head is read
 * again by a watch, which is never stale. Thread-safe.
 */
public final class ManifestStore {

    private static final long NEWER_HEAD_WAIT_MILLIS = 1_000;

    private final ObjectStore store;
    private final AtomicLong newestObjectVersion = new AtomicLong();

    /**
     * Creates a store.
     *
     * @param store the object API
     */
    public ManifestStore(ObjectStore store) {
        this.store = store;
    }

    /** The head and the version of its object, which a conditional update must specify. */
    record HeadObject(ManifestHead head, long objectVersion) {}

    /** Records a version of the head object, so that no later read returns an older one. */
    void recordHeadVersion(long objectVersion) {
        newestObjectVersion.accumulateAndGet(objectVersion, Math::max);
    }

    CompletableFuture<Either<StoreFailure, Optional<HeadObject>>> head() {
        return store.get(ManifestHead.OBJECT_NAME)
                .thenCompose(
                        read -> {
                            long seen = newestObjectVersion.get();
                            boolean stale =
                                    read.isRight()
                                            && read.get().map(StoredObject::version).orElse(0L)
                                                    < seen;
                            return stale
                                    ? headNewerThan(seen - 1)
                                    : CompletableFuture.completedFuture(toHead(read));
                        });
    }

    /**
     * Reads the head if its object is newer than the given version; waits a limited time for it.
     */
    CompletableFuture<Either<StoreFailure, Optional<HeadObject>>> headNewerThan(
            long objectVersion) {
        return store.watch(ManifestHead.OBJECT_NAME, objectVersion, NEWER_HEAD_WAIT_MILLIS)
                .thenApply(this::toHead);
    }

    /**
     * Reads the history, newest entry first.
     *
     * @param limit the maximum number of entries
     * @return the entries, or the failure of the object API
     */
    public CompletableFuture<Either<StoreFailure, List<HistoryRecord>>> history(int limit) {
        return readBackwards(record -> false, limit);
    }

    /**
     * Finds the document of a version.
     *
     * @param version the version
     * @param limit the maximum number of entries to search
     * @return the document, or nothing if the version is not found
     */
    public CompletableFuture<Either<StoreFailure, Optional<byte[]>>> document(
            long version, int limit) {
        return readBackwards(record -> record.entry().version() == version, limit)
                .thenCompose(
                        result ->
                                result.fold(
                                        failure ->
                                                CompletableFuture.completedFuture(
                                                        Either.left(failure)),
                                        records -> documentOf(records, version)));
    }

    private CompletableFuture<Either<StoreFailure, Optional<byte[]>>> documentOf(
            List<HistoryRecord> records, long version) {
        return records.stream()
                .filter(record -> record.entry().version() == version)
                .findFirst()
                .map(record -> store.get(record.documentName()))
                .orElse(CompletableFuture.completedFuture(Either.right(Optional.empty())))
                .thenApply(result -> result.map(object -> object.map(StoredObject::body)));
    }

    /** Finds the history entry of an accepted submission, if there is one. */
    CompletableFuture<Either<StoreFailure, Optional<HistoryRecord>>> findSubmission(
            String submissionId, int limit) {
        return head().thenCompose(head -> findSubmission(submissionId, head, limit));
    }

    /** Finds the history entry of an accepted submission, starting from the given head. */
    CompletableFuture<Either<StoreFailure, Optional<HistoryRecord>>> findSubmission(
            String submissionId, Either<StoreFailure, Optional<HeadObject>> head, int limit) {
        Predicate<HistoryRecord> matches =
                record -> record.entry().submissionId().equals(submissionId);
        return readBackwards(head, matches, limit)
                .thenApply(result -> result.map(list -> list.stream().filter(matches).findFirst()));
    }

    /** Reads entries from the newest backwards, up to and including the first that matches. */
    private CompletableFuture<Either<StoreFailure, List<HistoryRecord>>> readBackwards(
            Predicate<HistoryRecord> stopAt, int limit) {
        return head().thenCompose(head -> readBackwards(head, stopAt, limit));
    }

    private CompletableFuture<Either<StoreFailure, List<HistoryRecord>>> readBackwards(
            Either<StoreFailure, Optional<HeadObject>> head,
            Predicate<HistoryRecord> stopAt,
            int limit) {
        if (head.isLeft()) {
            return CompletableFuture.completedFuture(Either.left(head.getLeft()));
        }
        String newest = head.get().map(object -> object.head().entryName()).orElse("");
        return readBackwards(newest, stopAt, limit, new ArrayList<>());
    }

    private CompletableFuture<Either<StoreFailure, List<HistoryRecord>>> readBackwards(
            String entryName,
            Predicate<HistoryRecord> stopAt,
            int limit,
            List<HistoryRecord> found) {
        if (entryName.isEmpty() || found.size() >= limit) {
            return CompletableFuture.completedFuture(Either.right(List.copyOf(found)));
        }
        return store.get(entryName)
                .thenCompose(
                        result -> {
                            if (result.isLeft()) {
                                return CompletableFuture.completedFuture(
                                        Either.left(result.getLeft()));
                            }
                            Optional<HistoryRecord> record =
                                    result.get().flatMap(o -> HistoryRecord.parse(o.body()));
                            record.ifPresent(found::add);
                            boolean isLast = record.isEmpty() || stopAt.test(record.get());
                            String previous = isLast ? "" : record.get().previousEntryName();
                            return readBackwards(previous, stopAt, limit, found);
                        });
    }

    private Either<StoreFailure, Optional<HeadObject>> toHead(
            Either<StoreFailure, Optional<StoredObject>> read) {
        read.forEach(object -> object.ifPresent(found -> recordHeadVersion(found.version())));
        return read.map(
                object ->
                        object.flatMap(
                                found ->
                                        ManifestHead.parse(found.body())
                                                .map(h -> new HeadObject(h, found.version()))));
    }
}
