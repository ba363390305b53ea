package dev.foxtailshed.harness;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A reader of the server-sent events of a streamed completion. Not thread-safe. */
public final class EventStream implements AutoCloseable {

    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final BufferedReader reader;
    private final StringBuilder text = new StringBuilder();
    private boolean done;
    private Optional<JsonObject> error = Optional.empty();

    /** Creates a reader of a response body, which {@link #close} closes. */
    public EventStream(InputStream body) {
        reader = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
    }

    /**
     * Reads the next event.
     *
     * @return false at the end of the stream
     * @throws IOException if the connection breaks
     */
    public boolean readNext() throws IOException {
        String line = reader.readLine();
        while (line != null && !line.startsWith(DATA)) {
            line = reader.readLine();
        }
        if (line == null) {
            return false;
        }
        handleEvent(line.substring(DATA.length()));
        return true;
    }

    /**
     * Reads all events up to the end of the stream.
     *
     * @throws IOException if the connection breaks before the end
     */
    public void readAll() throws IOException {
        while (readNext()) {
            // readNext processes the event.
        }
    }

    /** Returns the concatenated text of the events read so far. */
    public String text() {
        return text.toString();
    }

    /** Returns whether the final event [DONE] has been read. */
    public boolean isDone() {
        return done;
    }

    /** Returns the error object of the last error event, if one has been read. */
    public Optional<JsonObject> error() {
        return error;
    }

    @Override
    public void close() throws IOException {
        reader.close();
    }

    private void handleEvent(String data) {
        if (data.equals(DONE)) {
            done = true;
            return;
        }
        JsonObject event = JsonParser.parseString(data).getAsJsonObject();
        if (event.has("error")) {
            error = Optional.of(event.getAsJsonObject("error"));
        } else {
            text.append(
                    event.getAsJsonArray("choices")
                            .get(0)
                            .getAsJsonObject()
                            .get("text")
                            .getAsString());
        }
    }
}
