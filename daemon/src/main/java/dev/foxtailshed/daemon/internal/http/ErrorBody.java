package dev.foxtailshed.daemon.internal.http;

import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.hosting.JsonBytes;
import dev.foxtailshed.kernel.RequestFailure;
import java.math.BigDecimal;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes error responses and JSON responses. */
public final class ErrorBody {

    /** The header of error responses that carries the verdict. */
    public static final String VERDICT_HEADER = "X-Foxtailshed-Verdict";

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int MILLI_DIGITS = 3;

    private ErrorBody() {}

    /**
     * Returns a failure as a JSON object without the envelope.
     *
     * @param failure the failure
     * @return an object with code, message, verdict and, if known, the retry delay in milliseconds
     */
    public static JsonObject toJson(RequestFailure failure) {
        JsonObject error = new JsonObject();
        error.addProperty("code", failure.code().label());
        error.addProperty("message", failure.message());
        error.addProperty("verdict", failure.verdict().label());
        failure.retryAfterMillis()
                .ifPresent(millis -> error.addProperty("retryAfterMillis", millis));
        return error;
    }

    /**
     * Returns the complete body of an error response.
     *
     * @param failure the failure
     * @return an object with the failure as its member "error"
     */
    public static JsonObject envelope(RequestFailure failure) {
        JsonObject body = new JsonObject();
        body.add("error", toJson(failure));
        return body;
    }

    /**
     * Writes an error response.
     *
     * @param response a response of which nothing has been written
     * @param failure the failure
     * @param callback completed when the response is written
     */
    public static void write(Response response, RequestFailure failure, Callback callback) {
        write(response, failure, envelope(failure), callback);
    }

    /**
     * Writes an error response whose body contains more than the envelope.
     *
     * @param response a response of which nothing has been written
     * @param failure the failure
     * @param body the complete body
     * @param callback completed when the response is written
     */
    public static void write(
            Response response, RequestFailure failure, JsonObject body, Callback callback) {
        response.setStatus(failure.httpStatus());
        response.getHeaders().put(VERDICT_HEADER, failure.verdict().label());
        failure.retryAfterMillis()
                .ifPresent(
                        millis ->
                                response.getHeaders()
                                        .put(HttpHeader.RETRY_AFTER, retryAfterSeconds(millis)));
        writeJson(response, body, callback);
    }

    /**
     * Writes a JSON object as the complete response, with the status set before.
     *
     * @param response a response of which nothing has been written
     * @param body the object
     * @param callback completed when the response is written
     */
    public static void writeJson(Response response, JsonObject body, Callback callback) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(JsonBytes.write(body)), callback);
    }

    /**
     * Writes an error response whose Retry-After header may contain fractions of a second.
     *
     * <p>Standard HTTP allows whole seconds only, so callers must support this format.
     *
     * @param response a response of which nothing has been written
     * @param failure the failure
     * @param callback completed when the response is written
     */
    public static void writeWithFractionalRetryAfter(
            Response response, RequestFailure failure, Callback callback) {
        failure.retryAfterMillis()
                .ifPresent(
                        millis ->
                                response.getHeaders()
                                        .put(HttpHeader.RETRY_AFTER, fractionalSeconds(millis)));
        response.setStatus(failure.httpStatus());
        response.getHeaders().put(VERDICT_HEADER, failure.verdict().label());
        writeJson(response, envelope(failure), callback);
    }

    private static String fractionalSeconds(long millis) {
        return BigDecimal.valueOf(millis, MILLI_DIGITS).toPlainString();
    }

    private static String retryAfterSeconds(long millis) {
        return Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
