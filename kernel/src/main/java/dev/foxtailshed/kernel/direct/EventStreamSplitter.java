package dev.foxtailshed.kernel.direct;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Cuts a stream of server-sent events at the ends of its events.
 *
 * <p>Only whole events are passed on, so that a stream that breaks within an event can go on at
 * another server. The bytes stay as they came. Not thread-safe.
 */
public final class EventStreamSplitter {

    private static final String ID_FIELD = "id:";

    private byte[] rest = new byte[0];
    private OptionalLong lastId = OptionalLong.empty();
    private int events;

    /**
     * Takes bytes as they arrive.
     *
     * @param bytes the next bytes
     * @return the whole events so far, or nothing if none has ended
     */
    public Optional<byte[]> feed(byte[] bytes) {
        byte[] joined = Arrays.copyOf(rest, rest.length + bytes.length);
        System.arraycopy(bytes, 0, joined, rest.length, bytes.length);
        int end = lastBoundary(joined);
        rest = Arrays.copyOfRange(joined, end, joined.length);
        if (end == 0) {
            return Optional.empty();
        }
        byte[] whole = Arrays.copyOf(joined, end);
        events += countEnds(whole);
        noteId(whole);
        return Optional.of(whole);
    }

    /**
     * Returns what has arrived of an event that has not ended.
     *
     * @return the bytes, empty between events
     */
    public byte[] incompleteEvent() {
        return rest;
    }

    /** Drops the bytes of an event that did not end. */
    public void discardIncompleteEvent() {
        rest = new byte[0];
    }

    /**
     * Tells whether any whole event was seen.
     *
     * @return true after the first
     */
    public boolean hasEvents() {
        return events > 0;
    }

    /**
     * Counts the whole events.
     *
     * @return how many were seen
     */
    public int eventCount() {
        return events;
    }

    /**
     * Returns the id of the last whole event.
     *
     * @return the id, or nothing if no event with a numeric id was seen
     */
    public OptionalLong lastEventId() {
        return lastId;
    }

    private static int lastBoundary(byte[] bytes) {
        for (int i = bytes.length - 1; i > 0; i--) {
            if (bytes[i] != '\n') {
                continue;
            }
            boolean afterLf = bytes[i - 1] == '\n';
            boolean afterCrLf =
                    i > 2 && bytes[i - 1] == '\r' && bytes[i - 2] == '\n' && bytes[i - 3] == '\r';
            if (afterLf || afterCrLf) {
                return i + 1;
            }
        }
        return 0;
    }

    private static int countEnds(byte[] whole) {
        int ends = 0;
        for (int i = 1; i < whole.length; i++) {
            boolean empty =
                    whole[i - 1] == '\n' || (whole[i - 1] == '\r' && i > 1 && whole[i - 2] == '\n');
            ends += whole[i] == '\n' && empty ? 1 : 0;
        }
        return ends;
    }

    private void noteId(byte[] whole) {
        for (String line : new String(whole, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                try {
                    lastId = OptionalLong.of(Long.parseLong(line.substring(3).trim()));
                } catch (NumberFormatException e) {
                    // An id that is no number cannot be resumed from; the one before stays.
                    continue;
                }
            }
        }
    }
}
