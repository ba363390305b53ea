package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.http.BodyAccumulator;
import dev.foxtailshed.daemon.internal.http.ErrorBody;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Reads request bodies without blocking and rejects those over the size limit. Thread-safe. */
final class BodyReader {

    /** The request header that selects a request class. */
    static final String CLASS_HEADER = "X-Foxtailshed-Class";

    /** The response header that carries the label under which the record lists the request. */
    static final String REQUEST_HEADER = "X-Foxtailshed-Request";

    private final int maximumBodyBytes;
    private final Executor executor;

    BodyReader(int maximumBodyBytes, Executor executor) {
        this.maximumBodyBytes = maximumBodyBytes;
        this.executor = executor;
    }

    /** Reads the body and passes it to {@code next}, or responds with an error. */
    void read(Request request, Response response, Callback callback, Consumer<byte[]> next) {
        if (request.getLength() > maximumBodyBytes) {
            ErrorBody.write(response, tooLargeFailure(), callback);
            return;
        }
        CompletableFuture<Optional<byte[]>> bodyFuture =
                BodyAccumulator.read(request, maximumBodyBytes);
        // A body that has already arrived is processed on the calling thread.
        bodyFuture.whenCompleteAsync(
                (body, failure) -> {
                    if (failure != null) {
                        ErrorBody.write(response, unreadableFailure(failure), callback);
                    } else if (body.isEmpty()) {
                        ErrorBody.write(response, tooLargeFailure(), callback);
                    } else {
                        next.accept(body.get());
                    }
                },
                bodyFuture.isDone() ? Runnable::run : executor);
    }

    static RequestFailure drainingFailure() {
        return RequestFailure.notRun(ErrorCode.DRAINING, "the instance is shutting down")
                .retryAfter(0);
    }

    private static RequestFailure unreadableFailure(Throwable failure) {
        return RequestFailure.notRun(
                ErrorCode.INVALID_REQUEST, "the body could not be read: " + failure);
    }

    private RequestFailure tooLargeFailure() {
        return RequestFailure.notRun(
                ErrorCode.TOO_LARGE, "the body is larger than " + maximumBodyBytes + " bytes");
    }
}
