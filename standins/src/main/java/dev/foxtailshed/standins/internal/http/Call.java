package dev.foxtailshed.standins.internal.http;

import java.io.EOFException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * An HTTP call whose body has been read completely, and its response.
 *
 * <p>A call is completed by {@link #reply}, {@link #stream} or {@link #abort}; only the first of
 * them takes effect. Thread-safe.
 */
public final class Call {

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;
    private final DisconnectMonitor disconnectMonitor;
    private final AtomicBoolean replied = new AtomicBoolean();

    Call(
            Request request,
            Response response,
            Callback callback,
            byte[] body,
            DisconnectMonitor disconnectMonitor) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
        this.disconnectMonitor = disconnectMonitor;
    }

    /** Returns the HTTP method. */
    public String method() {
        return request.getMethod();
    }

    /** Returns the decoded path, without the query. */
    public String path() {
        return Request.getPathInContext(request);
    }

    /** Returns the body. */
    public byte[] body() {
        return body;
    }

    /** Returns the body decoded as UTF-8. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Returns a query parameter.
     *
     * @param name the name of the parameter
     * @return its value, or empty if it is absent
     */
    public Optional<String> parameter(String name) {
        return Optional.ofNullable(Request.extractQueryParameters(request).getValue(name));
    }

    /**
     * Returns a query parameter as an integer.
     *
     * @param name the name of the parameter
     * @return its value, or empty if it is absent or not an integer
     */
    public OptionalLong longParameter(String name) {
        return parse(parameter(name));
    }

    /**
     * Returns a request header.
     *
     * @param name the name of the header
     * @return its value, or empty if it is absent
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    /**
     * Returns a request header as an integer.
     *
     * @param name the name of the header
     * @return its value, or empty if it is absent or not an integer
     */
    public OptionalLong longHeader(String name) {
        return parse(header(name));
    }

    /**
     * Sends a complete response.
     *
     * @param reply the response
     */
    public void reply(Reply reply) {
        if (!replied.compareAndSet(false, true)) {
            return;
        }
        disconnectMonitor.remove(this);
        response.setStatus(reply.status());
        reply.eTag().ifPresent(t -> response.getHeaders().put(HttpHeader.ETAG, '"' + t + '"'));
        if (reply.body().length > 0) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, reply.contentType());
        }
        response.write(true, ByteBuffer.wrap(reply.body()), callback);
    }

    /**
     * Starts a response whose body is written in several parts.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @return the stream, or empty if the call has already been completed
     */
    public Optional<ReplyStream> stream(int status, String contentType) {
        if (!replied.compareAndSet(false, true)) {
            return Optional.empty();
        }
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        return Optional.of(
                new ReplyStream(response, callback, () -> disconnectMonitor.remove(this)));
    }

    /** Closes the connection without a response. */
    public void abort() {
        if (!replied.compareAndSet(false, true)) {
            return;
        }
        disconnectMonitor.remove(this);
        endPoint().close();
        callback.failed(new EOFException("connection closed without a response"));
    }

    /**
     * Sets a listener that runs at most once, when the caller disconnects before the response is
     * complete. It has no effect once the response has been started.
     *
     * @param listener the listener, run on the timer thread of the server
     */
    public void onCallerDisconnected(Runnable listener) {
        disconnectMonitor.add(this, listener);
        if (replied.get()) {
            disconnectMonitor.remove(this);
        }
    }

    boolean isCallerDisconnected() {
        return endPoint() instanceof ProbedEndPoint probed
                ? probed.probeClosed()
                : !endPoint().isOpen();
    }

    private EndPoint endPoint() {
        return request.getConnectionMetaData().getConnection().getEndPoint();
    }

    private static OptionalLong parse(Optional<String> text) {
        try {
            return text.isPresent()
                    ? OptionalLong.of(Long.parseLong(text.get().trim()))
                    : OptionalLong.empty();
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
