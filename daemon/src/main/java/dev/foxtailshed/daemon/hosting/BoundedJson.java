package dev.foxtailshed.daemon.hosting;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.ToNumberPolicy;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;

/**
 * Parses JSON that other programs have written, of which a part may be nested at any depth.
 *
 * <p>Arrays and objects below {@link #MAXIMUM_DEPTH} levels are read as JSON null, so that one such
 * field does not make the rest of the document unreadable, and so that code that visits the
 * elements recursively cannot overflow its stack.
 */
public final class BoundedJson {

    /** Levels of arrays and objects that are kept; no field in use has more than ten. */
    public static final int MAXIMUM_DEPTH = 64;

    private BoundedJson() {}

    /**
     * Parses a document.
     *
     * @param bytes the document in UTF-8
     * @return its root
     * @throws IllegalArgumentException if the document is not JSON
     */
    public static JsonElement parse(byte[] bytes) {
        return parse(new String(bytes, StandardCharsets.UTF_8));
    }

    /**
     * Parses a document.
     *
     * @param text the document
     * @return its root
     * @throws IllegalArgumentException if the document is not JSON
     */
    public static JsonElement parse(String text) {
        JsonReader reader = new JsonReader(new StringReader(text));
        reader.setStrictness(Strictness.LENIENT);
        // Values below the maximum depth are skipped without recursion.
        reader.setNestingLimit(Integer.MAX_VALUE);
        try {
            JsonElement root = read(reader, 0);
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new IllegalArgumentException("expected the end of the JSON document");
            }
            return root;
        } catch (IOException | IllegalStateException e) {
            throw new IllegalArgumentException("expected a JSON document, found: " + e, e);
        }
    }

    private static JsonElement read(JsonReader reader, int depth) throws IOException {
        return switch (reader.peek()) {
            case BEGIN_ARRAY -> depth < MAXIMUM_DEPTH ? readArray(reader, depth) : skip(reader);
            case BEGIN_OBJECT -> depth < MAXIMUM_DEPTH ? readObject(reader, depth) : skip(reader);
            case STRING -> new JsonPrimitive(reader.nextString());
            // Keeps the digits, as the type of the number is not known yet.
            case NUMBER ->
                    new JsonPrimitive(ToNumberPolicy.LAZILY_PARSED_NUMBER.readNumber(reader));
            case BOOLEAN -> new JsonPrimitive(reader.nextBoolean());
            default -> {
                reader.nextNull();
                yield JsonNull.INSTANCE;
            }
        };
    }

    private static JsonElement readArray(JsonReader reader, int depth) throws IOException {
        JsonArray array = new JsonArray();
        reader.beginArray();
        while (reader.hasNext()) {
            array.add(read(reader, depth + 1));
        }
        reader.endArray();
        return array;
    }

    private static JsonElement readObject(JsonReader reader, int depth) throws IOException {
        JsonObject object = new JsonObject();
        reader.beginObject();
        while (reader.hasNext()) {
            String name = reader.nextName();
            object.add(name, read(reader, depth + 1));
        }
        reader.endObject();
        return object;
    }

    private static JsonElement skip(JsonReader reader) throws IOException {
        reader.skipValue();
        return JsonNull.INSTANCE;
    }
}
