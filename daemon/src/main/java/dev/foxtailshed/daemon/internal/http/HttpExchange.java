package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;

/**
 * An HTTP request to a backend server whose failures carry a verdict.
 *
 * <p>The body is read only as fast as the handler requests it. If the exchange fails before sending
 * started, the request has not run, and is not sent any more; after that it may have run; once the
 * status and headers of the response have been received, it has run.
 */
public final class HttpExchange {

    /** Exception messages longer than this are dumps of objects. */
    private static final int MAXIMUM_MESSAGE_CHARACTERS = 80;

    private final Request request;
    private final Handler handler;
    private final AtomicReference<SendState> sendState = new AtomicReference<>(SendState.QUEUED);
    private volatile boolean headReceived;
    private volatile boolean aborted;
    private volatile Optional<ConnectionUse> connectionUse = Optional.empty();
    private final AtomicBoolean ended = new AtomicBoolean();

    /**
     * Creates an exchange without sending the request.
     *
     * @param request the request
     * @param handler receives the response or the failure
     */
    public HttpExchange(Request request, Handler handler) {
        this.request = request;
        this.handler = handler;
    }

    /** Decides between sending a request and reporting it as not run; only one can happen. */
    private enum SendState {
        /** Nothing has been sent. */
        QUEUED,
        /** A connection sends the request; it may run. */
        BEGUN,
        /** The request failed before it began; a connection that takes it later sends nothing. */
        GIVEN_UP
    }

    /**
     * The place of an exchange among those of its connection.
     *
     * @param localPort the port of this side, which identifies the connection in logs
     * @param earlierRequests the number of requests that the connection had carried before
     */
    public record ConnectionUse(int localPort, long earlierRequests) {}

    /** Receives the response or the failure of an exchange. */
    public interface Handler {
        /**
         * Called when the status and headers of the response have been received.
         *
         * @param response the response
         */
        void onHead(Response response);

        /**
         * Called for each part of the response body.
         *
         * @param response the response
         * @param bytes the part
         * @param next requests the next part
         */
        void onBytes(Response response, byte[] bytes, Runnable next);

        /**
         * Called when the response is complete.
         *
         * @param response the response
         */
        void onComplete(Response response);

        /**
         * Called when the exchange failed for another reason than {@link HttpExchange#abort}.
         *
         * @param failure the failure with its verdict
         */
        void onFailure(RequestFailure failure);

        /** Called when the exchange ended after {@link HttpExchange#abort}. */
        void onAborted();
    }

    /** Sends the request. */
    public void send() {
        request.onRequestBegin(this::onRequestBegin)
                .onResponseHeaders(this::onResponseHead)
                .onResponseContentAsync(this::onResponseContent);
        ClientRequests.send(request, this::onResult);
    }

    /** Aborts the exchange. */
    public void abort() {
        aborted = true;
        giveUpUnsent();
        request.abort(new CancelledException());
    }

    /**
     * Returns the connection on which sending has begun.
     *
     * @return the connection, empty if sending has not begun
     */
    public Optional<ConnectionUse> connectionUse() {
        return connectionUse;
    }

    private void onRequestBegin(Request begun) {
        SendState state =
                sendState.updateAndGet(
                        current ->
                                current == SendState.GIVEN_UP
                                        ? SendState.GIVEN_UP
                                        : SendState.BEGUN);
        if (state == SendState.GIVEN_UP) {
            begun.abort(new CancelledException());
        } else {
            connectionUse = Optional.of(describe(begun.getConnection()));
        }
    }

    /** Prevents the request from being sent; returns false if a connection has begun to send it. */
    private boolean giveUpUnsent() {
        return sendState.compareAndSet(SendState.QUEUED, SendState.GIVEN_UP);
    }

    private static ConnectionUse describe(Connection connection) {
        int localPort =
                connection != null
                                && connection.getLocalSocketAddress()
                                        instanceof InetSocketAddress address
                        ? address.getPort()
                        : 0;
        // The count includes this request already.
        long earlierRequests =
                connection instanceof org.eclipse.jetty.io.Connection counting
                        ? counting.getMessagesOut() - 1
                        : 0;
        return new ConnectionUse(localPort, earlierRequests);
    }

    private void onResponseHead(Response response) {
        headReceived = true;
        handler.onHead(response);
    }

    private void onResponseContent(Response response, Content.Chunk chunk, Runnable demander) {
        ByteBuffer buffer = chunk.getByteBuffer();
        if (!buffer.hasRemaining()) {
            demander.run();
            return;
        }
        try {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            handler.onBytes(response, bytes, demander);
        } catch (RuntimeException | Error e) {
            // A response that is malformed, or has no room, must not leave the exchange open
            // forever.
            request.abort(e);
        }
    }

    private void onResult(Result result) {
        if (ended.getAndSet(true)) {
            return;
        }
        if (aborted) {
            handler.onAborted();
        } else if (result.isFailed()) {
            handler.onFailure(toFailure(result.getFailure()));
        } else {
            handler.onComplete(result.getResponse());
        }
    }

    /**
     * Returns the type and message of an exception.
     *
     * <p>Long messages are omitted, since some messages of Jetty contain the state of its objects.
     */
    private static String describe(Throwable cause) {
        String name = cause.getClass().getSimpleName();
        String message = cause.getMessage();
        boolean isShort = message != null && message.length() <= MAXIMUM_MESSAGE_CHARACTERS;
        return isShort ? name + ": " + message : name;
    }

    private RequestFailure toFailure(Throwable cause) {
        String text = "the backend server failed: " + describe(cause);
        if (giveUpUnsent()) {
            return RequestFailure.notRun(ErrorCode.NO_SERVER, text);
        }
        if (headReceived) {
            return RequestFailure.of(Verdict.RAN, ErrorCode.INCOMPLETE_ANSWER, text);
        }
        ErrorCode code =
                cause instanceof TimeoutException ? ErrorCode.TIMEOUT : ErrorCode.CONNECTION_LOST;
        return RequestFailure.of(Verdict.MAY_HAVE_RUN, code, text);
    }

    /** The failure of an exchange that was aborted by {@link #abort}. */
    private static final class CancelledException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CancelledException() {
            super("cancelled", null, false, false);
        }
    }
}
