package dev.foxtailshed.daemon.hosting;

import com.google.gson.JsonObject;
import dev.foxtailshed.kernel.direct.StorePosition;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's store, which holds named entries and has a single history.
 *
 * <p>Thread-safe. The returned futures never complete exceptionally; the verdict of a failed write
 * says whether the write may have taken effect.
 */
public interface SharedStore {

    /**
     * Reads one page of a collection.
     *
     * @param collection the collection to list
     * @param after the exclusive lower bound of the names, empty for the first page
     * @return the page
     */
    CompletableFuture<Either<StoreFailure, Page>> list(StoreCollection collection, String after);

    /**
     * Waits for changes to a collection.
     *
     * @param collection the collection to watch
     * @param position the position after which changes are returned
     * @param waitMillis the longest time to wait for a change, in milliseconds
     * @return the changes, none if the wait timed out; fails with HISTORY_GONE if the store no
     *     longer has the history and the collection must be listed again
     */
    CompletableFuture<Either<StoreFailure, Changes>> watch(
            StoreCollection collection, StorePosition position, long waitMillis);

    /**
     * Reads one entry.
     *
     * @param collection the collection of the entry
     * @param name the entry's name
     * @return the entry, if it exists, and the position of the read
     */
    CompletableFuture<Either<StoreFailure, Lookup>> get(StoreCollection collection, String name);

    /**
     * Creates an entry.
     *
     * @param collection the collection of the entry
     * @param name the entry's name
     * @param body the content to store
     * @return the new entry; fails with CONFLICT if the entry exists
     */
    CompletableFuture<Either<StoreFailure, StoreEntry>> create(
            StoreCollection collection, String name, JsonObject body);

    /**
     * Replaces an entry if it has not changed since it was read.
     *
     * @param collection the collection of the entry
     * @param expected the entry as last read
     * @param body the new content
     * @return the new entry; fails with CONFLICT if the entry has changed
     */
    CompletableFuture<Either<StoreFailure, StoreEntry>> replace(
            StoreCollection collection, StoreEntry expected, JsonObject body);

    /**
     * The result of reading one entry.
     *
     * @param entry the entry, empty if it does not exist
     * @param position the position of the entry, or one of the same era without an entry
     */
    record Lookup(Optional<StoreEntry> entry, StorePosition position) {}

    /**
     * A page of a collection.
     *
     * @param entries the entries, sorted by name
     * @param unreadable the number of entries left out because they are malformed
     * @param truncated whether more pages follow
     * @param position the store's position at which the page was read
     */
    record Page(
            List<StoreEntry> entries, int unreadable, boolean truncated, StorePosition position) {}

    /**
     * The changes since a position.
     *
     * @param changes the changes, oldest first
     * @param position the position from which to continue the watch
     */
    record Changes(List<Change> changes, StorePosition position) {}

    /**
     * A change of one entry.
     *
     * @param entry the new state of the entry, or the last one if it was removed
     * @param removed whether the entry was removed
     */
    record Change(StoreEntry entry, boolean removed) {}
}
