package dev.foxtailshed.integration;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import dev.foxtailshed.harness.Installation;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Creates variants of the small manifest of the harness. */
final class Manifests {

    private Manifests() {}

    static JsonObject small() throws IOException {
        try (InputStream stream = Installation.class.getResourceAsStream("small.json")) {
            String text = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return JsonParser.parseString(text).getAsJsonObject();
        }
    }

    /** Sets a numeric field of the element with the given name in an array of the manifest. */
    static void set(JsonObject manifest, String array, String name, String field, long value) {
        for (JsonElement element : manifest.getAsJsonArray(array)) {
            if (element.getAsJsonObject().get("name").getAsString().equals(name)) {
                element.getAsJsonObject().addProperty(field, value);
            }
        }
    }
}
