package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.RequestFailure;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.NetworkChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Writes the response to one caller in parts, without blocking.
 *
 * <p>Parts are queued and written in order, one write at a time. {@link #fail} sends an error
 * response as long as nothing has been written, and otherwise closes the connection abnormally, so
 * that an incomplete response never looks complete. Thread-safe.
 */
public final class CallerStream {

    private static final long MAXIMUM_QUEUED_BYTES = 32L << 20;

    private final ErrorWriter errors;
    private final Response response;
    private final Callback callback;
    private final Runnable onDisconnect;
    private final CallerDisconnectDetector disconnectDetector;
    private final Queue<ByteBuffer> queue = new ArrayDeque<>();
    private long queuedBytes;
    private boolean started;
    private boolean written;
    private HttpFields startHeaders = HttpFields.EMPTY;
    private boolean ending;
    private boolean writing;
    private boolean closed;
    private IOException breakCause;

    /**
     * Creates a stream and starts detecting whether the caller disconnects.
     *
     * @param request a request whose body has been read
     * @param response its response
     * @param callback succeeds when the response is complete, and fails if it cannot be completed
     * @param onDisconnect runs if the caller disconnects or reads too slowly, on any thread
     */
    public CallerStream(
            Request request, Response response, Callback callback, Runnable onDisconnect) {
        this(request, response, callback, onDisconnect, ErrorBody::write);
    }

    /**
     * Creates a stream with its own format of error responses.
     *
     * @param request a request whose body has been read
     * @param response its response
     * @param callback succeeds when the response is complete, and fails if it cannot be completed
     * @param onDisconnect runs if the caller disconnects or reads too slowly, on any thread
     * @param errors writes error responses
     */
    public CallerStream(
            Request request,
            Response response,
            Callback callback,
            Runnable onDisconnect,
            ErrorWriter errors) {
        this.errors = errors;
        this.response = response;
        this.callback = callback;
        this.onDisconnect = onDisconnect;
        this.disconnectDetector = CallerDisconnectDetector.start(request, this::callerDisconnected);
    }

    /**
     * Sets status and headers; has no effect if they are set already or the response has ended.
     *
     * @param status the HTTP status
     * @param headers the headers to add
     */
    public synchronized void start(int status, HttpFields headers) {
        if (!started && !closed) {
            started = true;
            startHeaders = headers;
            response.setStatus(status);
            response.getHeaders().add(headers);
            if (!headers.contains(HttpHeader.CONTENT_LENGTH) && supportsChunkedEncoding()) {
                // Otherwise the end of the response would be marked by closing the connection, and
                // the caller could not distinguish an incomplete response from a complete one.
                response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
            }
        }
    }

    private boolean supportsChunkedEncoding() {
        Request request = response.getRequest();
        return request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1
                && !HttpMethod.HEAD.is(request.getMethod())
                && !HttpStatus.hasNoBody(response.getStatus());
    }

    /**
     * Returns whether status and headers are set.
     *
     * @return true after {@link #start}
     */
    public synchronized boolean isStarted() {
        return started;
    }

    /**
     * Queues a part of the body for writing.
     *
     * <p>If the caller reads so slowly that too many bytes are queued, the connection is closed.
     *
     * @param bytes the part, which must not be modified afterwards
     */
    public void write(byte[] bytes) {
        boolean overflow;
        synchronized (this) {
            if (closed || ending) {
                return;
            }
            queue.add(ByteBuffer.wrap(bytes));
            queuedBytes += bytes.length;
            overflow = queuedBytes > MAXIMUM_QUEUED_BYTES;
        }
        if (overflow) {
            breakConnection(new IOException("the caller reads too slowly"));
            onDisconnect.run();
        } else {
            writeNext();
        }
    }

    /**
     * Queues the last part of the body and completes the response once all parts are written.
     *
     * @param bytes the part, which must not be modified afterwards
     */
    public void endWith(byte[] bytes) {
        synchronized (this) {
            if (closed || ending) {
                return;
            }
            queue.add(ByteBuffer.wrap(bytes));
            queuedBytes += bytes.length;
            ending = true;
        }
        writeNext();
    }

    /** Completes the response once all parts are written. */
    public void end() {
        synchronized (this) {
            if (closed || ending) {
                return;
            }
            ending = true;
        }
        writeNext();
    }

    /**
     * Ends the response with an error, or abnormally if a part of it has been written.
     *
     * @param failure the error
     */
    public void fail(RequestFailure failure) {
        boolean nothingWritten;
        synchronized (this) {
            if (closed || ending) {
                return;
            }
            nothingWritten = !written && queue.isEmpty();
            closed = nothingWritten;
        }
        if (nothingWritten) {
            disconnectDetector.stop();
            // These headers were set but have not been sent yet.
            startHeaders.forEach(field -> response.getHeaders().remove(field.getName()));
            response.getHeaders().remove(HttpHeader.TRANSFER_ENCODING);
            errors.write(response, failure, callback);
        } else {
            breakConnection(new IOException("incomplete answer: " + failure.message()));
        }
    }

    /**
     * Ends a started response with a last part, then closes the connection abnormally.
     *
     * @param lastPart the part that describes the error to the caller
     * @param failure the error
     */
    public void failAfter(byte[] lastPart, RequestFailure failure) {
        synchronized (this) {
            if (closed || ending) {
                return;
            }
            queue.add(ByteBuffer.wrap(lastPart));
            queuedBytes += lastPart.length;
            breakCause = new IOException("incomplete answer: " + failure.message());
            ending = true;
        }
        writeNext();
    }

    private void writeNext() {
        ByteBuffer part;
        boolean last;
        synchronized (this) {
            if (writing || closed || (queue.isEmpty() && !ending)) {
                return;
            }
            if (queue.isEmpty() && breakCause != null) {
                part = null;
                last = false;
            } else {
                part = drainQueue();
                last = ending && breakCause == null;
                writing = true;
                written = true;
                closed = last;
            }
        }
        if (part == null) {
            breakConnection(breakCause);
        } else if (last) {
            disconnectDetector.stop();
            response.write(true, part, callback);
        } else {
            response.write(false, part, Callback.from(this::onPartWritten, this::onWriteFailed));
        }
    }

    /** Removes and joins all queued parts, so that many small parts need only one write. */
    private ByteBuffer drainQueue() {
        if (queue.size() == 1) {
            queuedBytes = 0;
            return queue.remove();
        }
        ByteBuffer joined = ByteBuffer.allocate((int) queuedBytes);
        queue.forEach(joined::put);
        queue.clear();
        queuedBytes = 0;
        joined.flip();
        return joined.hasRemaining() ? joined : BufferUtil.EMPTY_BUFFER;
    }

    private void onPartWritten() {
        synchronized (this) {
            writing = false;
        }
        writeNext();
    }

    private void onWriteFailed(Throwable cause) {
        breakConnection(cause);
        onDisconnect.run();
    }

    private void callerDisconnected() {
        breakConnection(new IOException("the caller closed the connection"));
        onDisconnect.run();
    }

    /** Returns whether the caller takes the close of the connection for the end of the response. */
    private boolean isEndedByConnection() {
        return response.isCommitted()
                && ResponseFraming.of(response.getHeaders()) == ResponseFraming.CONNECTION;
    }

    /**
     * Makes the close of the connection a reset, which no caller takes for the end.
     *
     * @param closeCause the reason of the close, which gets a failure to set the reset as
     *     suppressed
     */
    private void resetOnClose(Throwable closeCause) {
        EndPoint endPoint =
                response.getRequest().getConnectionMetaData().getConnection().getEndPoint();
        if (endPoint.getTransport() instanceof NetworkChannel channel) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                // The caller has closed the connection, so that it reads no end of the response.
                closeCause.addSuppressed(e);
            }
        }
    }

    private void breakConnection(Throwable cause) {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            queue.clear();
        }
        disconnectDetector.stop();
        if (isEndedByConnection()) {
            resetOnClose(cause);
        }
        callback.failed(cause);
    }
}
