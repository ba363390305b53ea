package dev.foxtailshed.kernel.direct;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Checks whether a stream of server-sent events that is forwarded unread ends between two events.
 *
 * <p>Only the last bytes are kept. {@link EventStreamSplitter} is for streams that are resumed. Not
 * thread-safe.
 */
public final class EventStreamTail {

    /** Bytes of the longest end of an event: two line ends of two bytes. */
    private static final int TAIL_BYTES = 4;

    private byte[] tail = new byte[0];

    /**
     * Appends forwarded bytes.
     *
     * @param bytes the bytes
     */
    public void append(byte[] bytes) {
        byte[] joined = Arrays.copyOf(tail, tail.length + bytes.length);
        System.arraycopy(bytes, 0, joined, tail.length, bytes.length);
        int kept = Math.min(TAIL_BYTES, joined.length);
        tail = Arrays.copyOfRange(joined, joined.length - kept, joined.length);
    }

    /**
     * Returns whether the stream may end here.
     *
     * @param endMarked whether the server has marked the end of its response, by a length or by its
     *     last chunk; a stream without it must have at least one event
     * @return whether the last event is complete
     */
    public boolean isComplete(boolean endMarked) {
        if (tail.length == 0) {
            return endMarked;
        }
        String end = new String(tail, StandardCharsets.ISO_8859_1);
        return end.endsWith("\n\n") || end.endsWith("\n\r\n") || end.endsWith("\r\r");
    }
}
