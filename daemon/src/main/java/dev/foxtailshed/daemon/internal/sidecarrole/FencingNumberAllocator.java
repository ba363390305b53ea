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
 * Draws fencing numbers: each is greater than all drawn before for the same backend server.
 *
 * <p>The number is the version that the server's fencing object takes by this process's own
 * conditional update, so two processes never draw the same. An update whose answer was lost is not
 * settled but repeated: a number that nobody uses does no harm. Thread-safe.
 */
final class FencingNumberAllocator {

    private static final long PAUSE_MILLIS = 200;

    private final ObjectStore store;
    private final TimerService timer;

    FencingNumberAllocator(ObjectStore store, TimerService timer) {
        this.store = store;
        this.timer = timer;
    }

    /** Draws a number, however long the object API does not answer. */
    CompletableFuture<Long> draw(String serverName, String drawnBy) {
        CompletableFuture<Long> number = new CompletableFuture<>();
        attempt("fencing/" + serverName, drawnBy, number);
        return number;
    }

    /**
     * Tells whether a greater number was drawn since; an object API that does not answer counts as
     * no, since nobody can draw one meanwhile.
     */
    CompletableFuture<Boolean> isReplaced(String serverName, long number) {
        return store.watch("fencing/" + serverName, number, 0)
                .thenApply(read -> read.isRight() && read.get().isPresent());
    }

    private void attempt(String objectName, String drawnBy, CompletableFuture<Long> number) {
        store.get(objectName)
                .thenAccept(
                        read -> {
                            if (read.isLeft()) {
                                again(objectName, drawnBy, number);
                            } else {
                                write(objectName, drawnBy, read.get(), number);
                            }
                        });
    }

    private void write(
            String objectName,
            String drawnBy,
            Optional<StoredObject> current,
            CompletableFuture<Long> number) {
        OptionalLong expected =
                current.map(object -> OptionalLong.of(object.version()))
                        .orElse(OptionalLong.empty());
        store.put(objectName, drawnBy.getBytes(StandardCharsets.UTF_8), expected)
                .thenAccept(written -> conclude(objectName, drawnBy, written, number));
    }

    private void conclude(
            String objectName,
            String drawnBy,
            Either<StoreFailure, PutOutcome> written,
            CompletableFuture<Long> number) {
        if (written.isRight() && written.get() instanceof PutOutcome.Stored stored) {
            number.complete(stored.version());
        } else {
            again(objectName, drawnBy, number);
        }
    }

    private void again(String objectName, String drawnBy, CompletableFuture<Long> number) {
        timer.once(PAUSE_MILLIS, () -> attempt(objectName, drawnBy, number));
    }
}
