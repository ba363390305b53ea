package dev.foxtailshed.kernel.direct;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * <p>Only complete events are passed on, so that a stream that breaks within an event can be
 * resumed at another server. The bytes are not changed. Not thread-safe.
 */
public final class EventStreamSplitter {

    private static final String ID_FIELD = "id:";

    private byte[] incompleteEvent = new byte[0];
    private OptionalLong firstEventId = OptionalLong.empty();
    private OptionalLong lastEventId = OptionalLong.empty();
    private int eventCount;

    /**
     * Appends received bytes and returns the events that are now complete.
     *
     * @param bytes the received bytes
     * @return all complete events not yet returned, or empty if there is none
     */
    public Optional<byte[]> feed(byte[] bytes) {
        byte[] buffered = Arrays.copyOf(incompleteEvent, incompleteEvent.length + bytes.length);
        System.arraycopy(bytes, 0, buffered, incompleteEvent.length, bytes.length);
        int end = endOfLastEvent(buffered);
        incompleteEvent = Arrays.copyOfRange(buffered, end, buffered.length);
        if (end == 0) {
            return Optional.empty();
        }
        byte[] completeEvents = Arrays.copyOf(buffered, end);
        eventCount += countEvents(completeEvents);
        updateLastEventId(completeEvents);
        return Optional.of(completeEvents);
    }

    /**
     * Returns the received bytes of the event that is not yet complete.
     *
     * @return the bytes; empty between events
     */
    public byte[] incompleteEvent() {
        return incompleteEvent;
    }

    /** Discards the bytes of the incomplete event, since the stream continues with another run. */
    public void startRun() {
        incompleteEvent = new byte[0];
        firstEventId = OptionalLong.empty();
    }

    /**
     * Returns whether any complete event was received.
     *
     * @return true after the first one
     */
    public boolean hasEvents() {
        return eventCount > 0;
    }

    /**
     * Returns the number of complete events received.
     *
     * @return the number of events
     */
    public int eventCount() {
        return eventCount;
    }

    /**
     * Returns the id of the first complete event of this run that has a numeric id.
     *
     * @return the id, or empty if there was no such event
     */
    public OptionalLong firstEventId() {
        return firstEventId;
    }

    /**
     * Returns the id of the last complete event that has a numeric id.
     *
     * @return the id, or empty if there was no such event
     */
    public OptionalLong lastEventId() {
        return lastEventId;
    }

    private static int endOfLastEvent(byte[] bytes) {
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

    private static int countEvents(byte[] completeEvents) {
        int count = 0;
        for (int i = 1; i < completeEvents.length; i++) {
            boolean emptyLine =
                    completeEvents[i - 1] == '\n'
                            || (completeEvents[i - 1] == '\r'
                                    && i > 1
                                    && completeEvents[i - 2] == '\n');
            count += completeEvents[i] == '\n' && emptyLine ? 1 : 0;
        }
        return count;
    }

    private void updateLastEventId(byte[] completeEvents) {
        for (String line : new String(completeEvents, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                try {
                    lastEventId = OptionalLong.of(Long.parseLong(line.substring(3).trim()));
                    firstEventId = firstEventId.isPresent() ? firstEventId : lastEventId;
                } catch (NumberFormatException e) {
                    // A stream cannot be resumed from a non-numeric id, so the previous id is kept.
                    continue;
                }
            }
        }
    }
}
