package dev.foxtailshed.daemon.internal.events;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.time.Instant;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * A tinylog writer that prints each log entry as a line of JSON on standard output without
 * blocking.
 *
 * <p>The JSON writer of tinylog requires a file, and instances have no disks.
 */
public final class JsonConsoleWriter implements Writer {

    /** Longest wait for pending lines at the end of the process. */
    private static final long FLUSH_TIMEOUT_MILLIS = 200;

    private static final AsyncLinePrinter PRINTER =
            new AsyncLinePrinter(System.out, JsonConsoleWriter::formatDroppedLine);

    /**
     * Creates the writer; called by tinylog.
     *
     * @param properties the configured properties of the writer, all ignored
     */
    public JsonConsoleWriter(Map<String, String> properties) {}

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        JsonObject line = new JsonObject();
        Instant time = entry.getTimestamp().toInstant();
        line.addProperty("time", time.toString());
        line.addProperty("level", entry.getLevel().name());
        addMessage(line, entry.getMessage());
        if (entry.getException() != null) {
            line.addProperty("exception", entry.getException().toString());
        }
        PRINTER.add(line.toString());
    }

    /** Waits briefly until the lines written so far are printed. */
    public static void flushLines() {
        PRINTER.flush(FLUSH_TIMEOUT_MILLIS);
    }

    private static String formatDroppedLine(long count) {
        JsonObject line =
                new EventMessage(EventCode.LINES_DROPPED, Field.of("lines", count)).toJson();
        line.addProperty("level", EventCode.LINES_DROPPED.level().name());
        return line.toString();
    }

    private static void addMessage(JsonObject line, String message) {
        if (message != null && message.startsWith("{")) {
            // An EventMessage; log lines of libraries are plain text.
            try {
                JsonParser.parseString(message).getAsJsonObject().asMap().forEach(line::add);
                return;
            } catch (JsonParseException e) {
                line.addProperty("unparsed", true);
            }
        }
        line.addProperty("message", message);
    }

    @Override
    public void flush() {
        PRINTER.flush(FLUSH_TIMEOUT_MILLIS);
    }

    @Override
    public void close() {
        flush();
    }
}
