package dev.foxtailshed.daemon.internal.sidecar;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a stream of server-sent events into their data fields; an event may span chunks. */
final class EventStreamParser {

    private static final int MAXIMUM_LINE_BYTES = 1 << 20;
    private static final String DATA_FIELD = "data:";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private boolean hasData;

    List<String> feed(byte[] bytes) {
        List<String> events = new ArrayList<>();
        for (byte b : bytes) {
            if (b == '\n') {
                endLine(events);
            } else if (line.size() < MAXIMUM_LINE_BYTES) {
                line.write(b);
            } else {
                throw new IllegalStateException(
                        "a line of the event stream exceeds the maximum length");
            }
        }
        return events;
    }

    private void endLine(List<String> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (text.isEmpty()) {
            endEvent(events);
        } else if (text.startsWith(DATA_FIELD)) {
            addData(text.substring(DATA_FIELD.length()));
        }
    }

    private void addData(String value) {
        if (hasData) {
            data.append('\n');
        }
        data.append(value.startsWith(" ") ? value.substring(1) : value);
        hasData = true;
    }

    private void endEvent(List<String> events) {
        if (hasData) {
            events.add(data.toString());
        }
        data.setLength(0);
        hasData = false;
    }
}
