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
 * Presents this sidecar's fencing number to the engine before any work is accepted, and releases
 * requests unknown to the sidecar only while no successor has been allocated a number.
 *
 * <p>An engine has a number only after a command that carries it: until then it would accept
 * commands of a paused predecessor that resumes. The number is presented again after the engine was
 * unreachable, since a restarted engine has lost it.
 *
 * <p>A request unknown to a replaced sidecar may belong to its successor, and an engine that does
 * not check fencing numbers would release it. Thread-safe.
 */
final class FencingDriver implements BackendDriver {

    private static final String UNUSED_REQUEST_ID = "fencing-number";

    private final BackendDriver delegate;
    private final Supplier<CompletableFuture<Boolean>> isReplaced;
    private final Runnable onReplaced;
    private final AtomicBoolean replaced = new AtomicBoolean();
    private volatile boolean numberPresented;

    /**
     * Creates a driver.
     *
     * @param delegate sends the commands
     * @param isReplaced queries whether a successor has been allocated a number
     * @param onReplaced runs once, when a successor is found
     */
    FencingDriver(
            BackendDriver delegate,
            Supplier<CompletableFuture<Boolean>> isReplaced,
            Runnable onReplaced) {
        this.delegate = delegate;
        this.isReplaced = isReplaced;
        this.onReplaced = onReplaced;
    }

    @Override
    public void start(AttemptId id, Work work, BackendListener listener) {
        delegate.start(id, work, listener);
    }

    @Override
    public CompletableFuture<Void> cancel(AttemptId id) {
        return delegate.cancel(id);
    }

    @Override
    public CompletableFuture<Either<String, List<String>>> heldRequests() {
        return presentNumber()
                .thenCompose(presented -> delegate.heldRequests())
                .whenComplete((held, failure) -> numberPresented = held != null && held.isRight());
    }

    /**
     * Cancels a request that never existed, since an engine accepts a fencing number from any
     * command.
     */
    private CompletableFuture<Void> presentNumber() {
        return numberPresented
                ? CompletableFuture.completedFuture(null)
                : delegate.release(UNUSED_REQUEST_ID);
    }

    @Override
    public CompletableFuture<Void> release(String requestId) {
        return isReplaced
                .get()
                .thenCompose(
                        isReplacedNow -> isReplacedNow ? stepDown() : delegate.release(requestId));
    }

    private CompletableFuture<Void> stepDown() {
        if (replaced.compareAndSet(false, true)) {
            onReplaced.run();
        }
        return CompletableFuture.completedFuture(null);
    }
}
