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
 * Answers requests that the HTTP parser refuses with the product's error format.
 *
 * <p>Such a request was not passed on, so it has not run. Thread-safe.
 */
public final class JsonErrorHandler extends ErrorHandler {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        int status = response.getStatus();
        boolean caller = HttpStatus.isClientError(status);
        String reason = HttpStatus.getMessage(status);
        RequestFailure failure =
                caller
                        ? RequestFailure.notRun(
                                ErrorCode.INVALID_REQUEST, "the request is refused: " + reason)
                        : RequestFailure.of(
                                Verdict.MAY_HAVE_RUN, ErrorCode.INTERNAL, "internal: " + reason);
        // Jetty's own status is more exact than that of the error code: 413, 414, 431.
        response.setStatus(status);
        response.getHeaders().put(ErrorBody.VERDICT_HEADER, failure.verdict().label());
        ErrorBody.writeJson(response, ErrorBody.envelope(failure), callback);
        return true;
    }
}
