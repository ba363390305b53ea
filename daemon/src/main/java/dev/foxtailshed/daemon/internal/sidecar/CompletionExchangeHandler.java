package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.daemon.internal.http.HttpExchange;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Handles one completion request to an engine and maps error responses to verdicts.
 *
 * <p>After a failure that leaves it open whether the engine still holds the request, the request is
 * released at the engine before the failure is reported.
 */
final class CompletionExchangeHandler implements HttpExchange.Handler {

    private static final int MAXIMUM_ERROR_BYTES = 512;

    private final EngineDriver driver;
    private final String requestId;
    private final EngineResponseReader reader;
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();

    CompletionExchangeHandler(EngineDriver driver, String requestId, EngineResponseReader reader) {
        this.driver = driver;
        this.requestId = requestId;
        this.reader = reader;
    }

    @Override
    public void onHead(Response response) {
        // The status is checked with the content, which every response of an engine has.
    }

    @Override
    public void onBytes(Response response, byte[] bytes, Runnable next) {
        if (response.getStatus() == HttpStatus.OK_200) {
            reader.onBytes(bytes, next);
            return;
        }
        int keptBytes = Math.min(bytes.length, MAXIMUM_ERROR_BYTES - errorBody.size());
        errorBody.write(bytes, 0, keptBytes);
        next.run();
    }

    @Override
    public void onComplete(Response response) {
        driver.removeExchange(requestId);
        if (response.getStatus() != HttpStatus.OK_200) {
            reader.onFailure(toFailure(response.getStatus()));
            return;
        }
        try {
            reader.onComplete();
        } catch (RuntimeException e) {
            releaseAndFail(
                    RequestFailure.of(
                            Verdict.RAN,
                            ErrorCode.BACKEND_ERROR,
                            "malformed response of the engine: " + e));
        }
    }

    @Override
    public void onFailure(RequestFailure failure) {
        driver.removeExchange(requestId);
        if (failure.verdict() == Verdict.NOT_RUN) {
            reader.onFailure(failure);
        } else {
            releaseAndFail(failure);
        }
    }

    @Override
    public void onAborted() {
        // The driver has released the request when it aborted the exchange.
    }

    private void releaseAndFail(RequestFailure failure) {
        driver.releaseAndCheckStopped(requestId)
                .thenAccept(
                        engineStopped ->
                                reader.onFailure(
                                        engineStopped ? asBackendCrashed(failure) : failure));
    }

    private static RequestFailure asBackendCrashed(RequestFailure failure) {
        return RequestFailure.of(failure.verdict(), ErrorCode.BACKEND_CRASHED, failure.message());
    }

    private RequestFailure toFailure(int status) {
        String text =
                "the engine responded with status "
                        + status
                        + ": "
                        + errorBody.toString(StandardCharsets.UTF_8);
        return switch (status) {
            case HttpStatus.CONFLICT_409 -> RequestFailure.notRun(ErrorCode.VERSION_CONFLICT, text);
            case HttpStatus.TOO_MANY_REQUESTS_429 ->
                    RequestFailure.notRun(ErrorCode.OVERLOADED, text);
            case HttpStatus.SERVICE_UNAVAILABLE_503 ->
                    RequestFailure.notRun(ErrorCode.NO_SERVER, text);
            default ->
                    RequestFailure.of(
                            HttpStatus.isClientError(status)
                                    ? Verdict.NOT_RUN
                                    : Verdict.MAY_HAVE_RUN,
                            ErrorCode.BACKEND_ERROR,
                            text);
        };
    }
}
