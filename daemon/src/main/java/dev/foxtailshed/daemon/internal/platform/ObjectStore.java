package dev.foxtailshed.daemon.internal.platform;

import dev.foxtailshed.daemon.hosting.StoreFailure;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API.
 *
 * <p>Objects are versioned and written conditionally. The verdict of a failed write says whether it
 * may have taken effect. Thread-safe; the futures never complete exceptionally.
 */
public interface ObjectStore {

    /**
     * Reads an object.
     *
     * @param name its name
     * @return the object, or empty if it does not exist
     */
    CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> get(String name);

    /**
     * Writes an object if its current version is the expected one.
     *
     * @param name its name
     * @param body its bytes
     * @param expectedVersion the version to replace, or empty to create the object
     * @return whether the write took effect
     */
    CompletableFuture<Either<StoreFailure, PutOutcome>> put(
            String name, byte[] body, OptionalLong expectedVersion);

    /**
     * Waits for a version of an object that is newer than the given one.
     *
     * @param name the name of the object
     * @param newerThan the version that is already known, zero for none
     * @param waitMillis the maximum wait
     * @return the object, or empty if there was no newer version in time
     */
    CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> watch(
            String name, long newerThan, long waitMillis);

    /**
     * Lists objects ordered by name.
     *
     * @param prefix the prefix of the names to list
     * @param after the name after which the page starts, or empty for the first page
     * @param limit the maximum number of objects
     * @return a page of the list
     */
    CompletableFuture<Either<StoreFailure, ObjectListing>> list(
            String prefix, String after, int limit);

    /**
     * Reads the platform's list of instances, which may be out of date.
     *
     * @return the instances
     */
    CompletableFuture<Either<StoreFailure, List<PlatformInstance>>> instances();
}
