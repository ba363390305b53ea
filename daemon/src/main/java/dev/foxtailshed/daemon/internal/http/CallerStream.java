package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.direct.BufferBudget;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.NetworkChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * that an incomplete response never looks complete.
 *
 * <p>Parts that the caller has not read yet stay in memory and count against a budget. Whoever
 * produces many parts asks {@link #whenWritable} before the next one, so that it produces them no
 * faster than the caller reads. Thread-safe.
 */
public final class CallerStream {

    /** Bytes that are not written yet above which a producer has to wait. */
    static final long WRITABLE_BYTES = 64 << 10;

    /** Parts are joined up to this size; larger ones are written as they are. */
    private static final int MAXIMUM_JOINED_BYTES = 64 << 10;

    private final ErrorWriter errors;
    private final Response response;
    private final Callback callback;
    private final Runnable onDisconnect;
    private final CallerDisconnectDetector disconnectDetector;
    private final BufferBudget.Account account;
    private final Queue<ByteBuffer> queue = new ArrayDeque<>();
    private long unwrittenBytes;
    private long bytesInWrite;
    private Optional<Runnable> waitingProducer = Optional.empty();
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
     * @param budget limits the bytes that all responses hold in memory
     */
    public CallerStream(
            Request request,
            Response response,
            Callback callback,
            Runnable onDisconnect,
            BufferBudget budget) {
        this(request, response, callback, onDisconnect, budget, ErrorBody::write);
    }

    /**
     * Creates a stream with its own format of error responses.
     *
     * @param request a request whose body has been read
     * @param response its response
     * @param callback succeeds when the response is complete, and fails if it cannot be completed
     * @param onDisconnect runs if the caller disconnects or reads too slowly, on any thread
     * @param budget limits the bytes that all responses hold in memory
     * @param errors writes error responses
     */
    public CallerStream(
            Request request,
            Response response,
            Callback callback,
            Runnable onDisconnect,
            BufferBudget budget,
            ErrorWriter errors) {
        this.errors = errors;
        this.response = response;
        this.callback = callback;
        this.onDisconnect = onDisconnect;
        this.account = budget.open(this::giveUp);
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
     * <p>If the caller has not read so many bytes that the budget is exceeded, the connection is
     * closed.
     *
     * @param bytes the part, which must not be modified afterwards
     */
    public void write(byte[] bytes) {
        synchronized (this) {
            if (closed || ending) {
                return;
            }
            enqueue(bytes);
        }
        writeNext();
        recordHeldBytes();
    }

    /**
     * Calls back as soon as the caller has read most of what was written; at once if it has.
     *
     * <p>There is no call if the response ends before that.
     *
     * @param next produces the next part, on any thread
     */
    public void whenWritable(Runnable next) {
        synchronized (this) {
            if (unwrittenBytes > WRITABLE_BYTES) {
                waitingProducer = closed ? Optional.empty() : Optional.of(next);
                return;
            }
        }
        next.run();
    }

    /**
     * Returns whether a producer waits until the caller has read more.
     *
     * @return true from {@link #whenWritable} until its callback runs or the response ends
     */
    public synchronized boolean isProducerWaiting() {
        return waitingProducer.isPresent();
    }

    private void enqueue(byte[] bytes) {
        queue.add(ByteBuffer.wrap(bytes));
        unwrittenBytes += bytes.length + BufferBudgets.PART_OVERHEAD_BYTES;
    }

    /** Must be called without locks, since other streams may have to give up their bytes. */
    private void recordHeldBytes() {
        account.resize(unwrittenBytes());
    }

    private synchronized long unwrittenBytes() {
        return unwrittenBytes;
    }

    private void giveUp() {
        breakConnection(new IOException("the caller reads too slowly for the memory that is left"));
        onDisconnect.run();
    }

    /**
     * Queues the last part of the body and completes the response once all parts are written.
     *
     * @param bytes the part, which must not be modified afterwards
     */
    public void endWith(byte[] bytes) {
        endWith(List.of(bytes));
    }

    /**
     * Queues the last parts of the body and completes the response once all parts are written.
     *
     * @param parts the parts, which must not be modified afterwards
     */
    public void endWith(List<byte[]> parts) {
        synchronized (this) {
            if (closed || ending) {
                return;
            }
            parts.forEach(this::enqueue);
            ending = true;
        }
        writeNext();
        recordHeldBytes();
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
            enqueue(lastPart);
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
                part = takeParts();
                last = ending && breakCause == null && queue.isEmpty();
                writing = true;
                written = true;
                closed = last;
            }
        }
        if (part == null) {
            breakConnection(breakCause);
        } else if (last) {
            disconnectDetector.stop();
            response.write(true, part, Callback.from(account::close, callback));
        } else {
            response.write(false, part, Callback.from(this::onPartWritten, this::onWriteFailed));
        }
    }

    /** Removes and joins the next queued parts, so that many small parts need only one write. */
    private ByteBuffer takeParts() {
        if (queue.isEmpty()) {
            return BufferUtil.EMPTY_BUFFER;
        }
        List<ByteBuffer> parts = new ArrayList<>();
        int joinedBytes = 0;
        do {
            joinedBytes += queue.peek().remaining();
            parts.add(queue.remove());
        } while (!queue.isEmpty()
                && joinedBytes + queue.peek().remaining() <= MAXIMUM_JOINED_BYTES);
        bytesInWrite = joinedBytes + (long) parts.size() * BufferBudgets.PART_OVERHEAD_BYTES;
        if (parts.size() == 1) {
            return parts.get(0);
        }
        ByteBuffer joined = ByteBuffer.allocate(joinedBytes);
        parts.forEach(joined::put);
        return joined.flip();
    }

    private void onPartWritten() {
        Optional<Runnable> producer = Optional.empty();
        synchronized (this) {
            writing = false;
            unwrittenBytes -= bytesInWrite;
            if (unwrittenBytes <= WRITABLE_BYTES) {
                producer = waitingProducer;
                waitingProducer = Optional.empty();
            }
        }
        writeNext();
        recordHeldBytes();
        producer.ifPresent(Runnable::run);
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
            waitingProducer = Optional.empty();
        }
        account.close();
        disconnectDetector.stop();
        if (isEndedByConnection()) {
            resetOnClose(cause);
        }
        callback.failed(cause);
    }
}
