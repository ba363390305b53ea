package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.RequestFailure;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * The answer to one caller, written part by part without blocking.
 *
 * <p>Parts are queued and written in order, one write at a time. {@link #fail} answers with an
 * error while nothing was written, and otherwise breaks the connection, so that a part of an answer
 * never looks whole. Thread-safe.
 */
public final class CallerStream {

    private static final long MAXIMUM_QUEUED_BYTES = 32L << 20;

    private final ErrorWriter errors;
    private final Response response;
    private final Callback callback;
    private final Runnable onGone;
    private final CallerWatch watch;
    private final Queue<ByteBuffer> queue = new ArrayDeque<>();
    private long queuedBytes;
    private boolean started;
    private boolean written;
    private HttpFields settled = HttpFields.EMPTY;
    private boolean ending;
    private boolean writing;
    private boolean closed;
    private IOException breakCause;

    /**
     * Opens the answer and begins to watch whether the caller stays.
     *
     * @param request a request whose body has been read
     * @param response its response
     * @param callback completed when the answer is complete or broken
     * @param onGone hears that the caller went away; may come on any thread
     */
    public CallerStream(Request request, Response response, Callback callback, Runnable onGone) {
        this(request, response, callback, onGone, ErrorBody::write);
    }

    /**
     * Opens the answer with another form of errors.
     *
     * @param request a request whose body has been read
     * @param response its response
     * @param callback completed when the answer is complete or broken
     * @param onGone hears that the caller went away; may come on any thread
     * @param errors writes errors
     */
    public CallerStream(
            Request request,
            Response response,
            Callback callback,
            Runnable onGone,
            ErrorWriter errors) {
        this.errors = errors;
        this.response = response;
        this.callback = callback;
        this.onGone = onGone;
        this.watch = CallerWatch.start(request, this::callerGone);
    }

    /**
     * Sets status and headers.
     *
     * @param status the status
     * @param headers the headers to add
     */
    public synchronized void start(int status, HttpFields headers) {
        if (!started && !closed) {
            started = true;
            settled = headers;
            response.setStatus(status);
            response.getHeaders().add(headers);
            if (!headers.contains(HttpHeader.CONTENT_LENGTH) && takesChunks()) {
                // Else the answer would end with a connection that closes after it, and a caller
                // could not tell a broken answer from a complete one.
                response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
            }
        }
    }

    private boolean takesChunks() {
        Request request = response.getRequest();
        return request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1
                && !HttpMethod.HEAD.is(request.getMethod())
                && !HttpStatus.hasNoBody(response.getStatus());
    }

    /**
     * Tells whether status and headers are settled, after which an error breaks the connection.
     *
     * @return true after {@link #start}
     */
    public synchronized boolean isStarted() {
        return started;
    }

    /**
     * Queues a part of the answer.
     *
     * @param bytes the part, not changed afterwards
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
            broken(new IOException("the caller reads too slowly"));
            onGone.run();
        } else {
            writeNext();
        }
    }

    /**
     * Completes the answer with its last part.
     *
     * @param bytes the part, not changed afterwards
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

    /** Completes the answer once all parts are written. */
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
     * Ends the answer with an error.
     *
     * @param failure the error
     */
    public void fail(RequestFailure failure) {
        boolean untouched;
        synchronized (this) {
            if (closed || ending) {
                return;
            }
            untouched = !written && queue.isEmpty();
            closed = untouched;
        }
        if (untouched) {
            watch.stop();
            // Headers that were only set have not gone to the caller yet.
            settled.forEach(field -> response.getHeaders().remove(field.getName()));
            response.getHeaders().remove(HttpHeader.TRANSFER_ENCODING);
            errors.write(response, failure, callback);
        } else {
            broken(new IOException("incomplete answer: " + failure.message()));
        }
    }

    /**
     * Ends a started answer with a last part, then breaks the connection.
     *
     * @param lastPart tells the caller why the answer is incomplete
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
            broken(breakCause);
        } else if (last) {
            watch.stop();
            response.write(true, part, callback);
        } else {
            response.write(false, part, Callback.from(this::written, this::writeFailed));
        }
    }

    /** Joins what waits, so that a burst of small parts costs one write. */
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

    private void written() {
        synchronized (this) {
            writing = false;
        }
        writeNext();
    }

    private void writeFailed(Throwable cause) {
        broken(cause);
        onGone.run();
    }

    private void callerGone() {
        broken(new IOException("the caller closed the connection"));
        onGone.run();
    }

    private void broken(Throwable cause) {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            queue.clear();
        }
        watch.stop();
        callback.failed(cause);
    }
}
