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
 * Parses bytes into a JSON tree.
 *
 * <p>Not thread-safe. It refuses bytes that are not UTF-8, anything but strict JSON, duplicate keys
 * and deep nesting.
 */
public final class DocumentParser {

    private static final int MAXIMUM_NESTING = 16;
    private static final Pattern POSITION = Pattern.compile("line (\\d+) column (\\d+)");

    private final Problems problems;

    /**
     * Creates a parser.
     *
     * @param problems the collection to which problems are added
     */
    public DocumentParser(Problems problems) {
        this.problems = problems;
    }

    /**
     * Parses a document. Duplicate keys are reported, and parsing continues with the first value.
     *
     * @param document the bytes
     * @return the tree, or empty if the document is not JSON
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
            JsonElement root = readValue(reader, "$");
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
        String position = "line " + line + " column " + column;
        problems.add("$", "a document in UTF-8", "other bytes at " + position);
        return Optional.empty();
    }

    private void reportSyntax(Exception failure, JsonReader reader) {
        String message = String.valueOf(failure.getMessage());
        if (message.startsWith("Nesting limit")) {
            String expected = "at most " + MAXIMUM_NESTING + " levels of nesting";
            problems.add("$", expected, "more at " + position(message + reader));
        } else {
            problems.add("$", "strict JSON", "an error at " + position(message + reader));
        }
    }

    private static String position(String message) {
        Matcher matcher = POSITION.matcher(message);
        return matcher.find() ? matcher.group() : "an unknown position";
    }

    private JsonElement readValue(JsonReader reader, String path) throws IOException {
        switch (reader.peek()) {
            case BEGIN_OBJECT:
                return readObject(reader, path);
            case BEGIN_ARRAY:
                return readArray(reader, path);
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

    private JsonObject readObject(JsonReader reader, String path) throws IOException {
        JsonObject object = new JsonObject();
        reader.beginObject();
        while (reader.hasNext()) {
            String key = reader.nextName();
            String childPath = JsonPaths.child(path, key);
            JsonElement child = readValue(reader, childPath);
            if (object.has(key)) {
                problems.add(childPath, "each key once", "the key again");
            } else {
                object.add(key, child);
            }
        }
        reader.endObject();
        return object;
    }

    private JsonArray readArray(JsonReader reader, String path) throws IOException {
        JsonArray array = new JsonArray();
        reader.beginArray();
        while (reader.hasNext()) {
            array.add(readValue(reader, JsonPaths.item(path, array.size())));
        }
        reader.endArray();
        return array;
    }
}
