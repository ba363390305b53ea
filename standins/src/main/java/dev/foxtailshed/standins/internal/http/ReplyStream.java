package dev.foxtailshed.standins.internal.http;

import java.io.EOFException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A response whose body is written in several parts without blocking a thread.
 *
 * <p>Parts that are added while a write is in progress are sent together after it. After a write
 * has failed, further parts are discarded. Thread-safe.
 */
public final class ReplyStream {

    private final Response response;
    private final Callback completion;
    private final Runnable onEnd;
    private final StringBuilder pending = new StringBuilder();
    private boolean ending;
    private boolean writing;
    private boolean done;

    ReplyStream(Response response, Callback completion, Runnable onEnd) {
        this.response = response;
        this.completion = completion;
        this.onEnd = onEnd;
    }

    /**
     * Appends a part of the body; an empty part sends the headers.
     *
     * @param text the part
     * @param last whether the part ends the response
     */
    public void write(String text, boolean last) {
        synchronized (this) {
            if (done || ending) {
                return;
            }
            pending.append(text);
            ending = last;
            if (writing) {
                return;
            }
            writing = true;
        }
        writePending();
    }

    /** Aborts the response and closes the connection. */
    public void abort() {
        fail(new EOFException("stream aborted"));
    }

    private void writePending() {
        ByteBuffer bytes;
        boolean last;
        synchronized (this) {
            bytes = ByteBuffer.wrap(pending.toString().getBytes(StandardCharsets.UTF_8));
            pending.setLength(0);
            last = ending;
        }
        response.write(last, bytes, Callback.from(() -> written(last), this::fail));
    }

    private void written(boolean last) {
        synchronized (this) {
            if (done) {
                return;
            }
            done = last;
            if (!last && pending.length() == 0 && !ending) {
                writing = false;
                return;
            }
        }
        if (last) {
            onEnd.run();
            completion.succeeded();
        } else {
            writePending();
        }
    }

    private void fail(Throwable cause) {
        synchronized (this) {
            if (done) {
                return;
            }
            done = true;
        }
        completion.failed(cause);
    }
}
