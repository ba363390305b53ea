package dev.foxtailshed.standins.internal.http;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import java.util.Optional;

/** The two JSON formats of the external systems. Thread-safe. */
public enum Json {
    /** Field names in camel case, as used by the platform and the control APIs. */
    CAMEL(new GsonBuilder().disableHtmlEscaping().create()),
    /** Field names in lower case with underscores, as used by model engines. */
    SNAKE(
            new GsonBuilder()
                    .disableHtmlEscaping()
                    .serializeNulls()
                    .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
                    .create());

    private final Gson gson;

    Json(Gson gson) {
        this.gson = gson;
    }

    /**
     * Converts a value to JSON.
     *
     * @param value the value
     * @return the JSON text
     */
    public String write(Object value) {
        return gson.toJson(value);
    }

    /**
     * Parses a value from JSON.
     *
     * @param text the JSON text
     * @param type the class of the value
     * @param <T> the type of the value
     * @return the value, or empty if the text is null or not valid JSON for the type
     */
    public <T> Optional<T> read(String text, Class<T> type) {
        try {
            return Optional.ofNullable(gson.fromJson(text, type));
        } catch (JsonParseException e) {
            return Optional.empty();
        }
    }
}
