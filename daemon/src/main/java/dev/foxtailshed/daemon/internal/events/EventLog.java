package dev.foxtailshed.daemon.internal.events;

import java.util.Arrays;
import org.tinylog.Logger;

/**
 * Writes numbered events to the log.
 *
 * <p>Example: <code>EventLog.log(EventCode.LINK_CLOSED, Field.of("server", name));</code>
 * Thread-safe.
 */
public final class EventLog {

    private static final EventRateLimiter RATE_LIMITER = new EventRateLimiter();

    private EventLog() {}

    /**
     * Writes an event unless the limit of lines for this event in this second is reached.
     *
     * @param code the event
     * @param fields the values to log with it, in this order
     */
    public static void log(EventCode code, Field... fields) {
        long suppressed = RATE_LIMITER.admit(code, System.nanoTime());
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
        Field[] extendedFields = Arrays.copyOf(fields, fields.length + 1);
        extendedFields[fields.length] = Field.of("suppressedBefore", suppressed);
        return extendedFields;
    }

    /**
     * Writes {@link EventCode#INTERNAL_ERROR} with the stack trace of an unexpected exception or
     * error, within the limit of lines for this event.
     *
     * <p>Throws nothing, so that the caller can go on: a line for which there is no memory counts
     * as suppressed.
     *
     * @param where the part of the program in which it occurred
     * @param cause the exception or error
     */
    public static void logUnexpected(String where, Throwable cause) {
        try {
            writeUnexpected(where, cause);
        } catch (RuntimeException | Error e) {
            RATE_LIMITER.countSuppressed(EventCode.INTERNAL_ERROR);
        }
    }

    private static void writeUnexpected(String where, Throwable cause) {
        long suppressed = RATE_LIMITER.admit(EventCode.INTERNAL_ERROR, System.nanoTime());
        if (suppressed >= 0) {
            Field[] fields = withSuppressed(new Field[] {Field.of("where", where)}, suppressed);
            Logger.error(cause, new EventMessage(EventCode.INTERNAL_ERROR, fields).toString());
        }
    }
}
