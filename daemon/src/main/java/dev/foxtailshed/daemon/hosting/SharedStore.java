package dev.foxtailshed.daemon.hosting;

import com.google.gson.JsonObject;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store of named entries with one revision counter.
 *
 * <p>Thread-safe. The futures never complete exceptionally; a failed write says by its verdict
 * whether it may have taken effect.
 */
public interface SharedStore {

    /**
     * Reads a page of a collection.
     *
     * @param collection the collection
     * @param after only names greater than this, empty for the first page
     * @return the page
     */
    CompletableFuture<Either<StoreFailure, Page>> list(StoreCollection collection, String after);

    /**
     * Waits for changes of a collection.
     *
     * @param collection the collection
     * @param revision the revision up to which changes are known
     * @param waitMillis how long to wait for a change
     * @return the changes, empty if the time passed; fails with HISTORY_GONE if a list is needed
     */
    CompletableFuture<Either<StoreFailure, Changes>> watch(
            StoreCollection collection, long revision, long waitMillis);

    /**
     * Reads one entry.
     *
     * @param collection the collection
     * @param name the entry's name
     * @return the entry, or nothing if there is none
     */
    CompletableFuture<Either<StoreFailure, Optional<StoreEntry>>> get(
            StoreCollection collection, String name);

    /**
     * Creates an entry.
     *
     * @param collection the collection
     * @param name the entry's name
     * @param body what to store
     * @return the entry; fails with CONFLICT if it exists
     */
    CompletableFuture<Either<StoreFailure, StoreEntry>> create(
            StoreCollection collection, String name, JsonObject body);

    /**
     * Replaces an entry on the condition that it has not changed.
     *
     * @param collection the collection
     * @param expected the entry as last read
     * @param body what to store in its place
     * @return the entry; fails with CONFLICT if it has changed
     */
    CompletableFuture<Either<StoreFailure, StoreEntry>> replace(
            StoreCollection collection, StoreEntry expected, JsonObject body);

    /**
     * A page of a collection.
     *
     * @param entries the entries in order of their names
     * @param unreadable how many entries could not be read
     * @param truncated whether further pages follow
     * @param revision the store's revision at which the page was read
     */
    record Page(List<StoreEntry> entries, int unreadable, boolean truncated, long revision) {}

    /**
     * Changes since a revision.
     *
     * @param changes the changes in their order
     * @param revision the revision to watch from next
     */
    record Changes(List<Change> changes, long revision) {}

    /**
     * A change of one entry.
     *
     * @param entry the entry, as it is or last was
     * @param removed whether the entry is gone
     */
    record Change(StoreEntry entry, boolean removed) {}
}
