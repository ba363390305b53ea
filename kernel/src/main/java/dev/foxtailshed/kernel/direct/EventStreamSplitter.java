package dev.foxtailshed.kernel.direct;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * <p>Only complete events in order are passed on, so that a stream that breaks within an event can
 * be resumed at another server. An empty line ends an event; a line ends with CR, LF or both. The
 * bytes are not changed. Not thread-safe.
 */
public final class EventStreamSplitter {

    private static final String ID_FIELD = "id:";

    private final EventSequence sequence;
    private byte[] incompleteEvent = new byte[0];
    private OptionalLong misplacedEventId = OptionalLong.empty();
    private OptionalLong firstEventId = OptionalLong.empty();
    private OptionalLong lastEventId = OptionalLong.empty();
    private int eventCount;
    private int eventsBeforeRun;
    private boolean interrupted;

    /**
     * Creates a splitter.
     *
     * @param sequence checks the order of events
     */
    public EventStreamSplitter(EventSequence sequence) {
        this.sequence = sequence;
    }

    /**
     * Appends received bytes and returns the events that are now complete.
     *
     * @param bytes the received bytes
     * @return all complete events not yet returned, up to the first one out of order, or empty if
     *     there is none
     */
    public Optional<byte[]> feed(byte[] bytes) {
        byte[] buffered = Arrays.copyOf(incompleteEvent, incompleteEvent.length + bytes.length);
        System.arraycopy(bytes, 0, buffered, incompleteEvent.length, bytes.length);
        int end = 0;
        for (int next = endOfEvent(buffered, 0); next > end; next = endOfEvent(buffered, end)) {
            if (!acceptEvent(buffered, end, next)) {
                break;
            }
            end = next;
        }
        incompleteEvent = Arrays.copyOfRange(buffered, end, buffered.length);
        return end == 0 ? Optional.empty() : Optional.of(Arrays.copyOf(buffered, end));
    }

    /**
     * Returns the received bytes of the event that is not yet complete.
     *
     * @return the bytes; empty between events
     */
    public byte[] incompleteEvent() {
        return incompleteEvent;
    }

    /**
     * Returns what is missing from the stream if the current run has ended, in good order, here.
     *
     * <p>A server that stops may close its connection as one that has finished does, so the bytes
     * must show that the stream is complete unless the server has marked its end.
     *
     * @param endMarked whether the server has marked the end of its response, by a length or by its
     *     last chunk
     * @return a description for logs, or empty if nothing is known to be missing
     */
    public Optional<String> findMissingPart(boolean endMarked) {
        if (incompleteEvent.length > 0) {
            return Optional.of("the stream ended inside an event");
        }
        if (interrupted) {
            return Optional.of("the stream ended before the event at which it had broken off");
        }
        return endMarked || hasEventsOfRun()
                ? Optional.empty()
                : Optional.of("the stream ended before its first event");
    }

    /**
     * Discards the incomplete event and the first id, since the stream goes on with another run.
     */
    public void startRun() {
        interrupted |= incompleteEvent.length > 0 && misplacedEventId.isEmpty();
        eventsBeforeRun = eventCount;
        incompleteEvent = new byte[0];
        misplacedEventId = OptionalLong.empty();
        firstEventId = OptionalLong.empty();
    }

    /**
     * Returns the id of the event out of order that ended this run. It was not passed on, and
     * neither are the events after it.
     *
     * @return the id, or empty if all events were in order
     */
    public OptionalLong misplacedEventId() {
        return misplacedEventId;
    }

    /**
     * Returns whether the current run has brought any complete event.
     *
     * @return true after the first one since {@link #startRun}
     */
    public boolean hasEventsOfRun() {
        return eventCountOfRun() > 0;
    }

    /**
     * Returns the number of complete events that the current run has brought.
     *
     * @return the number of events since {@link #startRun}
     */
    public int eventCountOfRun() {
        return eventCount - eventsBeforeRun;
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

    /**
     * Returns the index after the event that begins at {@code start}, or start if it is incomplete.
     */
    private static int endOfEvent(byte[] bytes, int start) {
        int lineStart = start;
        boolean pairedLineEnds = false;
        for (int i = start; i < bytes.length; i++) {
            if (bytes[i] != '\n' && bytes[i] != '\r') {
                continue;
            }
            boolean emptyLine = i == lineStart;
            if (bytes[i] == '\r' && i + 1 < bytes.length && bytes[i + 1] == '\n') {
                i++;
                pairedLineEnds = true;
            } else if (pairedLineEnds && bytes[i] == '\r' && i + 1 == bytes.length) {
                // The other half of the line end is still to come.
                return start;
            }
            lineStart = i + 1;
            if (emptyLine) {
                return lineStart;
            }
        }
        return start;
    }

    private boolean acceptEvent(byte[] bytes, int start, int end) {
        String event = new String(bytes, start, end - start, StandardCharsets.UTF_8);
        if (event.isBlank()) {
            // A further empty line, or the second half of a CRLF that ended the event before.
            return true;
        }
        OptionalLong id =
                event.lines()
                        .filter(line -> line.startsWith(ID_FIELD))
                        .map(line -> parseId(line.substring(ID_FIELD.length())))
                        .flatMapToLong(OptionalLong::stream)
                        .reduce((earlier, later) -> later);
        if (id.isPresent()) {
            if (misplacedEventId.isPresent() || !sequence.accept(id.getAsLong())) {
                misplacedEventId = id;
                return false;
            }
            lastEventId = id;
            firstEventId = firstEventId.isPresent() ? firstEventId : id;
        }
        eventCount++;
        interrupted = false;
        return true;
    }

    private static OptionalLong parseId(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            // A stream cannot be resumed from a non-numeric id, so the previous id is kept.
            return OptionalLong.empty();
        }
    }
}
