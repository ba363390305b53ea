package dev.foxtailshed.daemon.internal.events;

import java.util.Arrays;
import org.tinylog.Logger;

/**
 * Writes numbered events.
 *
 * <p>Example: <code>EventLog.log(EventCode.LINK_CLOSED, Field.of("server", name));</code>
 * Thread-safe.
 */
public final class EventLog {

    private static final EventRate RATE = new EventRate();

    private EventLog() {}

    /**
     * Writes an event, unless too many of its kind came in this second.
     *
     * @param code the event
     * @param fields its values
     */
    public static void log(EventCode code, Field... fields) {
        long suppressed = RATE.admit(code, System.nanoTime());
        if (suppressed < 0) {
            return;
        }
        EventMessage message = new EventMessage(code, withSuppressed(fields, suppressed));
        switch (code.level()) {
            case ERROR -> Logger.error(message);
            case WARN -> Logger.warn(message);
            default -> Logger.info(message);
        }
    }

    private static Field[] withSuppressed(Field[] fields, long suppressed) {
        if (suppressed == 0) {
            return fields;
        }
        Field[] more = Arrays.copyOf(fields, fields.length + 1);
        more[fields.length] = Field.of("suppressedBefore", suppressed);
        return more;
    }

    /**
     * Writes an event about an unexpected exception, with its stack.
     *
     * @param where what was going on
     * @param cause the exception
     */
    public static void unexpected(String where, Throwable cause) {
        EventMessage message = new EventMessage(EventCode.INTERNAL_ERROR, Field.of("where", where));
        Logger.error(cause, message.toString());
    }
}
