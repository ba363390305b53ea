package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/**
 * Writes Jetty's own error responses in the error format of the daemon.
 *
 * <p>A request that the HTTP parser refuses was not forwarded, so it has not run. Thread-safe.
 */
public final class JsonErrorHandler extends ErrorHandler {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        // A status of 503 would promise that the request has not run, which nothing shows here.
        int status =
                response.getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503
                        ? HttpStatus.INTERNAL_SERVER_ERROR_500
                        : response.getStatus();
        boolean isClientError = HttpStatus.isClientError(status);
        String reason = HttpStatus.getMessage(status);
        RequestFailure failure =
                isClientError
                        ? RequestFailure.notRun(
                                ErrorCode.INVALID_REQUEST, "the request is refused: " + reason)
                        : RequestFailure.of(
                                Verdict.MAY_HAVE_RUN,
                                ErrorCode.INTERNAL,
                                "internal error: " + reason);
        // Jetty's status, such as 413, 414 or 431, is more specific than that of the error code.
        response.setStatus(status);
        response.getHeaders().put(ErrorBody.VERDICT_HEADER, failure.verdict().label());
        ErrorBody.writeJson(response, ErrorBody.envelope(failure), callback);
        return true;
    }
}
