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
 * <p>The head object points to the newest history entry, each entry to the one before and to its
 * document. Entries and documents are named by their digests and never change. A plain read of the
 * head may be stale: one older than what was seen before is replaced by a watch, which is not.
 * Thread-safe.
 */
public final class ManifestStore {

    private static final long NEWER_HEAD_WAIT_MILLIS = 1_000;

    private final ObjectStore store;
    private final AtomicLong newestSeen = new AtomicLong();

    /**
     * Creates the reader.
     *
     * @param store the object API
     */
    public ManifestStore(ObjectStore store) {
        this.store = store;
    }

    /** The head and the version of its object, which a conditional update must name. */
    record HeadObject(ManifestHead head, long objectVersion) {}

    /** Notes a version of the head's object, so that no read goes back behind it. */
    void noteHead(long objectVersion) {
        newestSeen.accumulateAndGet(objectVersion, Math::max);
    }

    CompletableFuture<Either<StoreFailure, Optional<HeadObject>>> head() {
        return store.get(ManifestHead.OBJECT_NAME)
                .thenCompose(
                        read -> {
                            long seen = newestSeen.get();
                            boolean stale =
                                    read.isRight()
                                            && read.get().map(StoredObject::version).orElse(0L)
                                                    < seen;
                            return stale
                                    ? headNewerThan(seen - 1)
                                    : CompletableFuture.completedFuture(toHead(read));
                        });
    }

    /** Reads the head that replaced a known version of its object. */
    CompletableFuture<Either<StoreFailure, Optional<HeadObject>>> headNewerThan(
            long objectVersion) {
        return store.watch(ManifestHead.OBJECT_NAME, objectVersion, NEWER_HEAD_WAIT_MILLIS)
                .thenApply(this::toHead);
    }

    /**
     * Reads the history, newest entry first.
     *
     * @param limit the greatest number of entries
     * @return the entries
     */
    public CompletableFuture<Either<StoreFailure, List<HistoryRecord>>> history(int limit) {
        return walk(record -> false, limit);
    }

    /**
     * Finds the document of a version.
     *
     * @param version the version
     * @param limit how many entries to look through
     * @return the document, or nothing if there is no such version
     */
    public CompletableFuture<Either<StoreFailure, Optional<byte[]>>> document(
            long version, int limit) {
        return walk(record -> record.entry().version() == version, limit)
                .thenCompose(
                        either ->
                                either.fold(
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
                .thenApply(either -> either.map(object -> object.map(StoredObject::body)));
    }

    /** Finds the accepted entry of a submission, if there is one. */
    CompletableFuture<Either<StoreFailure, Optional<HistoryRecord>>> findSubmission(
            String submissionId, int limit) {
        return head().thenCompose(head -> findSubmission(submissionId, head, limit));
    }

    /** Finds the accepted entry of a submission from a head on. */
    CompletableFuture<Either<StoreFailure, Optional<HistoryRecord>>> findSubmission(
            String submissionId, Either<StoreFailure, Optional<HeadObject>> head, int limit) {
        Predicate<HistoryRecord> isIt =
                record -> record.entry().submissionId().equals(submissionId);
        return walk(head, isIt, limit)
                .thenApply(either -> either.map(list -> list.stream().filter(isIt).findFirst()));
    }

    /** Reads entries from the newest on, up to and with the first that matches. */
    private CompletableFuture<Either<StoreFailure, List<HistoryRecord>>> walk(
            Predicate<HistoryRecord> last, int limit) {
        return head().thenCompose(head -> walk(head, last, limit));
    }

    private CompletableFuture<Either<StoreFailure, List<HistoryRecord>>> walk(
            Either<StoreFailure, Optional<HeadObject>> head,
            Predicate<HistoryRecord> last,
            int limit) {
        if (head.isLeft()) {
            return CompletableFuture.completedFuture(Either.left(head.getLeft()));
        }
        String newest = head.get().map(object -> object.head().entryName()).orElse("");
        return walk(newest, last, limit, new ArrayList<>());
    }

    private CompletableFuture<Either<StoreFailure, List<HistoryRecord>>> walk(
            String entryName, Predicate<HistoryRecord> last, int limit, List<HistoryRecord> found) {
        if (entryName.isEmpty() || found.size() >= limit) {
            return CompletableFuture.completedFuture(Either.right(List.copyOf(found)));
        }
        return store.get(entryName)
                .thenCompose(
                        either -> {
                            if (either.isLeft()) {
                                return CompletableFuture.completedFuture(
                                        Either.left(either.getLeft()));
                            }
                            Optional<HistoryRecord> record =
                                    either.get().flatMap(o -> HistoryRecord.parse(o.body()));
                            record.ifPresent(found::add);
                            boolean stop = record.isEmpty() || last.test(record.get());
                            String previous = stop ? "" : record.get().previousEntryName();
                            return walk(previous, last, limit, found);
                        });
    }

    private Either<StoreFailure, Optional<HeadObject>> toHead(
            Either<StoreFailure, Optional<StoredObject>> read) {
        read.forEach(object -> object.ifPresent(found -> noteHead(found.version())));
        return read.map(
                object ->
                        object.flatMap(
                                found ->
                                        ManifestHead.parse(found.body())
                                                .map(h -> new HeadObject(h, found.version()))));
    }
}
