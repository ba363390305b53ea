package dev.foxtailshed.daemon.internal.events;

import com.google.gson.JsonObject;
import java.util.List;

/** An event with its values, formatted as the text of a log entry. */
final class EventMessage {

    private static volatile boolean jsonLines;

    private final EventCode code;
    private final List<Field> fields;

    /**
     * Selects the format of all messages, which must be global: the logger passes only the text of
     * a message to its writers.
     */
    static void useJsonLines(boolean json) {
        jsonLines = json;
    }

    EventMessage(EventCode code, Field... fields) {
        this.code = code;
        this.fields = List.of(fields);
    }

    /** Returns the event as a JSON object with one member per field. */
    JsonObject toJson() {
        JsonObject json = new JsonObject();
        json.addProperty("event", code.number());
        json.addProperty("name", code.name());
        for (Field field : fields) {
            json.addProperty(field.name(), field.value());
        }
        return json;
    }

    @Override
    public String toString() {
        return jsonLines ? toJson().toString() : toText();
    }

    private String toText() {
        StringBuilder text = new StringBuilder();
        text.append('E').append(code.number()).append(' ').append(code.name());
        for (Field field : fields) {
            text.append(' ').append(field.name()).append('=').append(quote(field.value()));
        }
        return text.toString();
    }

    private static String quote(String value) {
        boolean isPlain = !value.isEmpty() && value.chars().noneMatch(EventMessage::needsQuotes);
        if (isPlain) {
            return value;
        }
        StringBuilder escaped = new StringBuilder("\"");
        value.chars().forEach(character -> appendEscaped(escaped, (char) character));
        return escaped.append('"').toString();
    }

    /** Escapes what could look like the end of a field or line, or steer a terminal. */
    private static void appendEscaped(StringBuilder escaped, char character) {
        if (character == '\\' || character == '"') {
            escaped.append('\\').append(character);
        } else if (character == '\n') {
            escaped.append("\\n");
        } else if (isControl(character)) {
            escaped.append(String.format("\\u%04x", (int) character));
        } else {
            escaped.append(character);
        }
    }

    private static boolean isControl(int character) {
        return Character.isISOControl(character)
                || Character.getType(character) == Character.LINE_SEPARATOR
                || Character.getType(character) == Character.PARAGRAPH_SEPARATOR;
    }

    private static boolean needsQuotes(int character) {
        return character <= ' ' || character == '"' || character == '=' || isControl(character);
    }
}
