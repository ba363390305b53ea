package dev.foxtailshed.daemon.hosting;

import dev.foxtailshed.kernel.Verdict;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;

/** Sends calls to a store over HTTP and says whether a failed one may have taken effect. */
public final class StoreCalls {

    private StoreCalls() {}

    /**
     * Sends one call.
     *
     * @param request the call, with its timeout
     * @param maximumBodyBytes the longest answer
     * @param reader reads a whole answer; an {@link IllegalArgumentException} says that it cannot
     * @param <T> what the call returns
     * @return the result, which never completes exceptionally
     */
    public static <T> CompletableFuture<Either<StoreFailure, T>> send(
            Request request,
            int maximumBodyBytes,
            Function<StoreResponse, Either<StoreFailure, T>> reader) {
        CompletableFuture<Either<StoreFailure, T>> future = new CompletableFuture<>();
        request.send(
                new BufferingResponseListener(maximumBodyBytes) {
                    @Override
                    public void onComplete(Result result) {
                        future.complete(toEither(result, getContent(), reader));
                    }
                });
        return future;
    }

    /**
     * Reads a server error.
     *
     * @param answer the answer
     * @return the failure, or nothing if the status is below 500
     */
    public static Optional<StoreFailure> serverError(StoreResponse answer) {
        int status = answer.response().getStatus();
        if (status < HttpStatus.INTERNAL_SERVER_ERROR_500) {
            return Optional.empty();
        }
        // A proxy in front of the store may answer 5xx after the store applied the write.
        boolean refused = status == HttpStatus.SERVICE_UNAVAILABLE_503;
        Verdict verdict = refused ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        return Optional.of(new StoreFailure(verdict, "status " + status));
    }

    private static <T> Either<StoreFailure, T> toEither(
            Result result,
            byte[] content,
            Function<StoreResponse, Either<StoreFailure, T>> reader) {
        if (result.isFailed()) {
            boolean unsent = result.getFailure() instanceof ConnectException;
            Verdict verdict = unsent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
            String cause = result.getFailure().getClass().getSimpleName();
            return Either.left(new StoreFailure(verdict, "the platform did not answer: " + cause));
        }
        try {
            return reader.apply(new StoreResponse(result.getResponse(), content));
        } catch (IllegalArgumentException e) {
            return Either.left(
                    new StoreFailure(
                            StoreFailure.Kind.MALFORMED, Verdict.MAY_HAVE_RUN, e.getMessage()));
        }
    }

    /**
     * A whole answer.
     *
     * @param response its status and headers
     * @param body its body
     */
    public record StoreResponse(Response response, byte[] body) {}
}
