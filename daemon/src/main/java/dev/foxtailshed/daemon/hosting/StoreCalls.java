package dev.foxtailshed.daemon.hosting;

import dev.foxtailshed.daemon.internal.http.ClientRequests;
import dev.foxtailshed.kernel.Verdict;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;

/** Sends calls to a store over HTTP and determines whether a failed call may have taken effect. */
public final class StoreCalls {

    private StoreCalls() {}

    /**
     * Sends one call.
     *
     * @param request the call, with its timeout set
     * @param maximumBodyBytes the largest response body that is accepted
     * @param reader parses a complete response; throws an {@link IllegalArgumentException} if the
     *     response is malformed
     * @param <T> the type of the result
     * @return the result, which never completes exceptionally
     */
    public static <T> CompletableFuture<Either<StoreFailure, T>> send(
            Request request,
            int maximumBodyBytes,
            Function<StoreResponse, Either<StoreFailure, T>> reader) {
        CompletableFuture<Either<StoreFailure, T>> future = new CompletableFuture<>();
        ClientRequests.send(
                request,
                new BufferingResponseListener(maximumBodyBytes) {
                    @Override
                    public void onComplete(Result result) {
                        future.complete(toEither(result, this::getContent, reader));
                    }
                });
        return future;
    }

    /**
     * Converts a 5xx response to a failure.
     *
     * @param reply the response
     * @return the failure, or empty if the status is below 500
     */
    public static Optional<StoreFailure> serverError(StoreResponse reply) {
        int status = reply.response().getStatus();
        if (status < HttpStatus.INTERNAL_SERVER_ERROR_500) {
            return Optional.empty();
        }
        // Any other 5xx may come from a proxy after the store has applied the write.
        boolean refused = status == HttpStatus.SERVICE_UNAVAILABLE_503;
        Verdict verdict = refused ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        return Optional.of(new StoreFailure(verdict, "status " + status));
    }

    private static <T> Either<StoreFailure, T> toEither(
            Result result,
            Supplier<byte[]> content,
            Function<StoreResponse, Either<StoreFailure, T>> reader) {
        if (result.isFailed()) {
            boolean unsent = result.getFailure() instanceof ConnectException;
            Verdict verdict = unsent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
            String cause = result.getFailure().getClass().getSimpleName();
            return Either.left(new StoreFailure(verdict, "no response from the store: " + cause));
        }
        try {
            return reader.apply(new StoreResponse(result.getResponse(), content.get()));
        } catch (RuntimeException | Error e) {
            // JSON of another shape fails in many ways, and a large one may not fit into memory;
            // without a result, callers would wait for ever.
            return Either.left(
                    new StoreFailure(
                            StoreFailure.Kind.MALFORMED,
                            Verdict.MAY_HAVE_RUN,
                            "unreadable response of the store: " + e));
        }
    }

    /**
     * A complete response.
     *
     * @param response the status and headers
     * @param body the body
     */
    public record StoreResponse(Response response, byte[] body) {}
}
