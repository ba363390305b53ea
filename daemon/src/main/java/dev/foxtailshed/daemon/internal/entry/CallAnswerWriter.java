package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.wire.Message;
import java.util.List;

/** Writes the answer of a call to its caller as it arrives. */
interface CallAnswerWriter {

    /** Writes the status and the headers. */
    void writeHead(int status, List<Message.Header> headers);

    /** Writes a part of the body. */
    void writePart(byte[] content);

    /** Completes the answer. */
    void end();

    /**
     * Reports a failure to the caller while the run continues; {@link #end} or {@link #fail}
     * follows.
     */
    void reportFailure(RequestFailure failure);

    /** Ends the call with a failure; an answer that has started is aborted. */
    void fail(RequestFailure failure);

    /** Returns whether the answer to the caller has started, so that it cannot be replaced. */
    boolean isStarted();
}
