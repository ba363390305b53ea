package dev.foxtailshed.daemon.internal.sidecarrole;

import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.platform.ObjectStore;
import dev.foxtailshed.daemon.internal.platform.PutOutcome;
import dev.foxtailshed.daemon.internal.platform.StoredObject;
import dev.foxtailshed.kernel.TimerService;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Allocates fencing numbers: each is greater than all allocated before for the same backend server.
 *
 * <p>The number is the version that the server's fencing object gets by a conditional update of
 * this process, so two processes never get the same one. An update whose response is lost is not
 * resolved but repeated: an unused number does no harm. Thread-safe.
 */
final class FencingNumberAllocator {

    private static final long RETRY_MILLIS = 200;

    private final ObjectStore store;
    private final TimerService timer;

    FencingNumberAllocator(ObjectStore store, TimerService timer) {
        this.store = store;
        this.timer = timer;
    }

    /** Allocates a number; retries as long as the object API is unavailable. */
    CompletableFuture<Long> allocate(String serverName, String owner) {
        CompletableFuture<Long> number = new CompletableFuture<>();
        tryAllocate("fencing/" + serverName, owner, number);
        return number;
    }

    /**
     * Returns whether a greater number has been allocated since. Returns false if the object API is
     * unavailable, since no number can be allocated meanwhile.
     */
    CompletableFuture<Boolean> isReplaced(String serverName, long number) {
        return store.watch("fencing/" + serverName, number, 0)
                .thenApply(read -> read.isRight() && read.get().isPresent());
    }

    private void tryAllocate(String objectName, String owner, CompletableFuture<Long> number) {
        store.get(objectName)
                .thenAccept(
                        read -> {
                            if (read.isLeft()) {
                                retryLater(objectName, owner, number);
                            } else {
                                write(objectName, owner, read.get(), number);
                            }
                        });
    }

    private void write(
            String objectName,
            String owner,
            Optional<StoredObject> current,
            CompletableFuture<Long> number) {
        OptionalLong expected =
                current.map(object -> OptionalLong.of(object.version()))
                        .orElse(OptionalLong.empty());
        store.put(objectName, owner.getBytes(StandardCharsets.UTF_8), expected)
                .thenAccept(written -> onWritten(objectName, owner, written, number));
    }

    private void onWritten(
            String objectName,
            String owner,
            Either<StoreFailure, PutOutcome> written,
            CompletableFuture<Long> number) {
        if (written.isRight() && written.get() instanceof PutOutcome.Stored stored) {
            number.complete(stored.version());
        } else {
            retryLater(objectName, owner, number);
        }
    }

    private void retryLater(String objectName, String owner, CompletableFuture<Long> number) {
        timer.once(RETRY_MILLIS, () -> tryAllocate(objectName, owner, number));
    }
}
