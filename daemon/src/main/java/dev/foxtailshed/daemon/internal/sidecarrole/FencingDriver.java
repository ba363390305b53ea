package dev.foxtailshed.daemon.internal.sidecarrole;

import dev.foxtailshed.daemon.internal.sidecar.BackendDriver;
import dev.foxtailshed.daemon.internal.sidecar.BackendListener;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.wire.Message.Work;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * Shows the engine this sidecar's fencing number before any work is taken, and lets requests that
 * the sidecar does not know be released only while no successor has drawn a number.
 *
 * <p>An engine knows a number only once an order brought it: until then it would obey a predecessor
 * that wakes. It has forgotten the number when it comes back after it was out of reach.
 *
 * <p>What a replaced sidecar does not know may be its successor's work, and an engine that checks
 * no fencing numbers would obey. Thread-safe.
 */
final class FencingDriver implements BackendDriver {

    private static final String UNUSED_REQUEST = "fencing-number";

    private final BackendDriver driver;
    private final Supplier<CompletableFuture<Boolean>> isReplaced;
    private final Runnable onReplaced;
    private final AtomicBoolean replaced = new AtomicBoolean();
    private volatile boolean numberShown;

    /**
     * Creates a driver.
     *
     * @param driver gives the orders
     * @param isReplaced asks whether a successor has drawn a number
     * @param onReplaced runs once, when it has
     */
    FencingDriver(
            BackendDriver driver,
            Supplier<CompletableFuture<Boolean>> isReplaced,
            Runnable onReplaced) {
        this.driver = driver;
        this.isReplaced = isReplaced;
        this.onReplaced = onReplaced;
    }

    @Override
    public void start(AttemptId id, Work work, BackendListener listener) {
        driver.start(id, work, listener);
    }

    @Override
    public CompletableFuture<Void> cancel(AttemptId id) {
        return driver.cancel(id);
    }

    @Override
    public CompletableFuture<Either<String, List<String>>> heldRequests() {
        return showNumber()
                .thenCompose(shown -> driver.heldRequests())
                .whenComplete((held, failure) -> numberShown = held != null && held.isRight());
    }

    /** Cancels a request that never was, since an engine takes a number from any order. */
    private CompletableFuture<Void> showNumber() {
        return numberShown
                ? CompletableFuture.completedFuture(null)
                : driver.release(UNUSED_REQUEST);
    }

    @Override
    public CompletableFuture<Void> release(String requestId) {
        return isReplaced.get().thenCompose(by -> by ? stepDown() : driver.release(requestId));
    }

    private CompletableFuture<Void> stepDown() {
        if (replaced.compareAndSet(false, true)) {
            onReplaced.run();
        }
        return CompletableFuture.completedFuture(null);
    }
}
