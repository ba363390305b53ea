package dev.foxtailshed.daemon.internal.record;

import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.platform.ObjectListing;
import dev.foxtailshed.daemon.internal.platform.ObjectStore;
import dev.foxtailshed.daemon.internal.platform.StoredObject;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads the stored batches of the record, for the operators' command. Thread-safe. */
public final class RecordStore {

    private static final String PREFIX = "records/";
    private static final int PAGE_SIZE = 500;

    private final ObjectStore store;

    /**
     * Creates a store.
     *
     * @param store the object API
     */
    public RecordStore(ObjectStore store) {
        this.store = store;
    }

    /**
     * Lists the objects of the record, ordered by name.
     *
     * @param after return only names greater than this one; empty to start at the first
     * @return a page of the list
     */
    public CompletableFuture<Either<StoreFailure, ObjectListing>> list(String after) {
        return store.list(PREFIX, after, PAGE_SIZE);
    }

    /**
     * Reads an object of the record.
     *
     * @param name the object's name
     * @return the object, or nothing if it does not exist or the name is outside the record
     */
    public CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> get(String name) {
        if (!name.startsWith(PREFIX)) {
            return CompletableFuture.completedFuture(Either.right(Optional.empty()));
        }
        return store.get(name);
    }
}
