package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.wire.Message.Work;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Runs work on one backend server.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface BackendDriver {

    /**
     * Starts work.
     *
     * @param id the attempt; each attempt is started at most once
     * @param work the work to run
     * @param listener receives the answer and the end of the work
     */
    void start(AttemptId id, Work work, BackendListener listener);

    /**
     * Cancels work in any state and releases all that the backend server holds for it.
     *
     * @param id the attempt
     * @return completes once the backend server holds nothing more for the attempt
     */
    CompletableFuture<Void> cancel(AttemptId id);

    /**
     * Lists the requests that the backend server holds. A failure also means that the server is not
     * reachable.
     *
     * @return the request ids, or the reason why the list is not available
     */
    CompletableFuture<Either<String, List<String>>> heldRequests();

    /**
     * Releases a request that an earlier sidecar process left behind.
     *
     * @param requestId the id as listed by the backend server
     * @return completes once the backend server holds nothing more for the request
     */
    CompletableFuture<Void> release(String requestId);
}
