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
 * Follows one completion on an engine and turns its refusals into verdicts.
 *
 * <p>After a failure that leaves open what the engine holds, the request is released there before
 * the failure is told.
 */
final class CompletionExchangeHandler implements HttpExchange.Handler {

    private static final int MAXIMUM_ERROR_BYTES = 512;

    private final EngineDriver driver;
    private final String requestId;
    private final EngineResponseReader answer;
    private final ByteArrayOutputStream error = new ByteArrayOutputStream();

    CompletionExchangeHandler(EngineDriver driver, String requestId, EngineResponseReader answer) {
        this.driver = driver;
        this.requestId = requestId;
        this.answer = answer;
    }

    @Override
    public void onHead(Response response) {
        // The status is read with the content, which follows for every answer of an engine.
    }

    @Override
    public void onBytes(Response response, byte[] bytes, Runnable next) {
        if (response.getStatus() == HttpStatus.OK_200) {
            answer.onBytes(bytes, next);
            return;
        }
        int kept = Math.min(bytes.length, MAXIMUM_ERROR_BYTES - error.size());
        error.write(bytes, 0, kept);
        next.run();
    }

    @Override
    public void onComplete(Response response) {
        driver.forget(requestId);
        if (response.getStatus() != HttpStatus.OK_200) {
            answer.onFailure(refusal(response.getStatus()));
            return;
        }
        try {
            answer.onComplete();
        } catch (RuntimeException e) {
            releaseAndFail(
                    RequestFailure.of(Verdict.RAN, ErrorCode.BACKEND_ERROR, "malformed: " + e));
        }
    }

    @Override
    public void onFailure(RequestFailure failure) {
        driver.forget(requestId);
        if (failure.verdict() == Verdict.NOT_RUN) {
            answer.onFailure(failure);
        } else {
            releaseAndFail(failure);
        }
    }

    @Override
    public void onAborted() {
        // The driver released the request when it gave up the exchange.
    }

    private void releaseAndFail(RequestFailure failure) {
        driver.releaseOrFindGone(requestId)
                .thenAccept(gone -> answer.onFailure(gone ? crashed(failure) : failure));
    }

    private static RequestFailure crashed(RequestFailure failure) {
        return RequestFailure.of(failure.verdict(), ErrorCode.BACKEND_CRASHED, failure.message());
    }

    private RequestFailure refusal(int status) {
        String text =
                "the engine answered " + status + ": " + error.toString(StandardCharsets.UTF_8);
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
