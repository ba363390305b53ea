package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.wire.Message;
import java.util.List;

/** Takes the answer to a call as it comes. */
interface CallAnswerWriter {

    /** Takes status and headers. */
    void head(int status, List<Message.Header> headers);

    /** Takes a part of the body. */
    void part(byte[] content);

    /** The answer is whole. */
    void end();

    /** The caller is told of a failure, but the run goes on; {@link #end} or a failure follows. */
    void tell(RequestFailure failure);

    /** The call failed; an answer that was begun is broken off. */
    void fail(RequestFailure failure);

    /** Tells whether a part of the answer has gone to the caller. */
    boolean isStarted();
}
