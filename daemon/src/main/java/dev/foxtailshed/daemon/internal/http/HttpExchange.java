package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;

/**
 * One HTTP request to a backend server, with the verdict of its failures.
 *
 * <p>Content is read only as fast as the handler asks for it. A failure before the request began to
 * be sent proves that it did not run; one after that leaves it open; one after the head of the
 * answer means that it ran.
 */
public final class HttpExchange {

    /** Characters of a plain message; longer ones are dumps of objects. */
    private static final int LONGEST_MESSAGE = 80;

    private final Request request;
    private final Handler handler;
    private volatile boolean begun;
    private volatile boolean answered;
    private volatile boolean aborted;

    /**
     * Creates an exchange that has not been sent.
     *
     * @param request the request
     * @param handler hears what becomes of it
     */
    public HttpExchange(Request request, Handler handler) {
        this.request = request;
        this.handler = handler;
    }

    /** Hears what becomes of one exchange. */
    public interface Handler {
        /**
         * The head of the answer came.
         *
         * @param response the response
         */
        void onHead(Response response);

        /**
         * Bytes of the answer came.
         *
         * @param response the response
         * @param bytes the bytes
         * @param next asks for more
         */
        void onBytes(Response response, byte[] bytes, Runnable next);

        /**
         * The answer is whole.
         *
         * @param response the response
         */
        void onComplete(Response response);

        /**
         * The exchange failed for another reason than {@link HttpExchange#abort}.
         *
         * @param failure verdict and code
         */
        void onFailure(RequestFailure failure);

        /** The exchange ended after {@link HttpExchange#abort}. */
        void onAborted();
    }

    /** Sends the request. */
    public void send() {
        request.onRequestBegin(begin -> begun = true)
                .onResponseHeaders(this::head)
                .onResponseContentAsync(this::content)
                .send(this::complete);
    }

    /** Gives the exchange up. */
    public void abort() {
        aborted = true;
        request.abort(new CancelledException());
    }

    private void head(Response response) {
        answered = true;
        handler.onHead(response);
    }

    private void content(Response response, Content.Chunk chunk, Runnable demander) {
        ByteBuffer buffer = chunk.getByteBuffer();
        if (!buffer.hasRemaining()) {
            demander.run();
            return;
        }
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        try {
            handler.onBytes(response, bytes, demander);
        } catch (RuntimeException e) {
            // A malformed answer must not leave the exchange open for ever.
            request.abort(e);
        }
    }

    private void complete(Result result) {
        if (aborted) {
            handler.onAborted();
        } else if (result.isFailed()) {
            handler.onFailure(failureOf(result.getFailure()));
        } else {
            handler.onComplete(result.getResponse());
        }
    }

    /**
     * Names the cause; Jetty puts the state of its objects into some messages, for nobody's use.
     */
    private static String describe(Throwable cause) {
        String name = cause.getClass().getSimpleName();
        String message = cause.getMessage();
        boolean plain = message != null && message.length() <= LONGEST_MESSAGE;
        return plain ? name + ": " + message : name;
    }

    private RequestFailure failureOf(Throwable cause) {
        String text = "the backend server failed: " + describe(cause);
        if (!begun) {
            return RequestFailure.notRun(ErrorCode.NO_SERVER, text);
        }
        if (answered) {
            return RequestFailure.of(Verdict.RAN, ErrorCode.INCOMPLETE_ANSWER, text);
        }
        ErrorCode code =
                cause instanceof TimeoutException ? ErrorCode.TIMEOUT : ErrorCode.CONNECTION_LOST;
        return RequestFailure.of(Verdict.MAY_HAVE_RUN, code, text);
    }

    /** Marks an exchange that this process gave up. */
    private static final class CancelledException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CancelledException() {
            super("cancelled", null, false, false);
        }
    }
}
