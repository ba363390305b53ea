package dev.foxtailshed.daemon.internal.platform;

import dev.foxtailshed.daemon.hosting.StoreFailure;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API. Thread-safe; the futures never complete exceptionally.
 *
 * <p>A failed write says by its verdict whether it may have taken effect.
 */
public interface ObjectStore {

    /**
     * Reads an object.
     *
     * @param name its name
     * @return the object, or nothing if there is none
     */
    CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> get(String name);

    /**
     * Writes an object on the condition that its version is the expected one.
     *
     * @param name its name
     * @param body its bytes
     * @param expectedVersion the version to replace, or nothing to create the object
     * @return whether the write took effect
     */
    CompletableFuture<Either<StoreFailure, PutOutcome>> put(
            String name, byte[] body, OptionalLong expectedVersion);

    /**
     * Waits for a version newer than the given one.
     *
     * @param name the name of the object
     * @param newerThan the version already known, zero for none
     * @param waitMillis how long to wait
     * @return the object, or nothing if the time passed
     */
    CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> watch(
            String name, long newerThan, long waitMillis);

    /**
     * Lists objects in order of their names.
     *
     * @param prefix the start of the names
     * @param after only names greater than this, empty for all
     * @param limit the greatest number of objects
     * @return a page of the list
     */
    CompletableFuture<Either<StoreFailure, ObjectListing>> list(
            String prefix, String after, int limit);

    /**
     * Reads the platform's list of instances, which lags.
     *
     * @return the instances
     */
    CompletableFuture<Either<StoreFailure, List<PlatformInstance>>> instances();
}
