package dev.foxtailshed.kernel.manifest.internal;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.internal.LazilyParsedNumber;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Turns bytes into a JSON tree.
 *
 * <p>Not thread-safe. Refused are bytes that are not UTF-8, anything but strict JSON, duplicate
 * keys and deep nesting.
 */
public final class DocumentParser {

    private static final int MAXIMUM_NESTING = 16;
    private static final Pattern PLACE = Pattern.compile("line (\\d+) column (\\d+)");

    private final Problems problems;

    /**
     * Creates a parser.
     *
     * @param problems where problems are reported
     */
    public DocumentParser(Problems problems) {
        this.problems = problems;
    }

    /**
     * Parses a document. Duplicate keys are reported, and the parser goes on with the first value.
     *
     * @param document the bytes
     * @return the tree, or nothing if the document is not JSON
     */
    public Optional<JsonElement> parse(byte[] document) {
        Optional<String> text = decode(document);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        JsonReader reader = new JsonReader(new StringReader(text.get()));
        reader.setStrictness(Strictness.STRICT);
        reader.setNestingLimit(MAXIMUM_NESTING);
        try {
            JsonElement root = value(reader, "$");
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new IOException("trailing content" + reader);
            }
            return Optional.of(root);
        } catch (IOException | IllegalStateException e) {
            reportSyntax(e, reader);
            return Optional.empty();
        }
    }

    private Optional<String> decode(byte[] document) {
        CharsetDecoder decoder =
                StandardCharsets.UTF_8
                        .newDecoder()
                        .onMalformedInput(CodingErrorAction.REPORT)
                        .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer bytes = ByteBuffer.wrap(document);
        CharBuffer chars = CharBuffer.allocate(document.length);
        CoderResult result = decoder.decode(bytes, chars, true);
        chars.flip();
        String text = chars.toString();
        if (!result.isError()) {
            return Optional.of(text);
        }
        int line = 1 + (int) text.chars().filter(c -> c == '\n').count();
        int column = text.length() - text.lastIndexOf('\n');
        String place = "line " + line + " column " + column;
        problems.add("$", "a document in UTF-8", "other bytes at " + place);
        return Optional.empty();
    }

    private void reportSyntax(Exception failure, JsonReader reader) {
        String message = String.valueOf(failure.getMessage());
        if (message.startsWith("Nesting limit")) {
            String expected = "at most " + MAXIMUM_NESTING + " levels of nesting";
            problems.add("$", expected, "more at " + place(message + reader));
        } else {
            problems.add("$", "strict JSON", "an error at " + place(message + reader));
        }
    }

    private static String place(String message) {
        Matcher matcher = PLACE.matcher(message);
        return matcher.find() ? matcher.group() : "an unknown place";
    }

    private JsonElement value(JsonReader reader, String path) throws IOException {
        switch (reader.peek()) {
            case BEGIN_OBJECT:
                return object(reader, path);
            case BEGIN_ARRAY:
                return array(reader, path);
            case STRING:
                return new JsonPrimitive(reader.nextString());
            case NUMBER:
                return new JsonPrimitive(new LazilyParsedNumber(reader.nextString()));
            case BOOLEAN:
                return new JsonPrimitive(reader.nextBoolean());
            default:
                reader.nextNull();
                return JsonNull.INSTANCE;
        }
    }

    private JsonObject object(JsonReader reader, String path) throws IOException {
        JsonObject object = new JsonObject();
        reader.beginObject();
        while (reader.hasNext()) {
            String key = reader.nextName();
            String childPath = JsonPaths.child(path, key);
            JsonElement child = value(reader, childPath);
            if (object.has(key)) {
                problems.add(childPath, "each key once", "the key again");
            } else {
                object.add(key, child);
            }
        }
        reader.endObject();
        return object;
    }

    private JsonArray array(JsonReader reader, String path) throws IOException {
        JsonArray array = new JsonArray();
        reader.beginArray();
        while (reader.hasNext()) {
            array.add(value(reader, JsonPaths.item(path, array.size())));
        }
        reader.endArray();
        return array;
    }
}
