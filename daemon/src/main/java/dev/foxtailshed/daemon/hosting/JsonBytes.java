package dev.foxtailshed.daemon.hosting;

import com.google.gson.JsonElement;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Writes JSON as UTF-8 so that its reader gets the same texts, whatever characters they have.
 *
 * <p>Stateless and thread-safe.
 */
public final class JsonBytes {

    private JsonBytes() {}

    /**
     * Writes a document.
     *
     * @param element the root of the document
     * @return the document in UTF-8
     */
    public static byte[] write(JsonElement element) {
        String text = element.toString();
        try {
            return toArray(StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text)));
        } catch (CharacterCodingException e) {
            // Unpaired surrogates have no bytes, but JSON can name them.
            return escapeUnpairedSurrogates(text).getBytes(StandardCharsets.UTF_8);
        }
    }

    private static byte[] toArray(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    private static String escapeUnpairedSurrogates(String text) {
        StringBuilder escaped = new StringBuilder();
        text.codePoints()
                .forEach(
                        point -> {
                            boolean isUnpaired =
                                    point >= Character.MIN_SURROGATE
                                            && point <= Character.MAX_SURROGATE;
                            if (isUnpaired) {
                                escaped.append(String.format("\\u%04x", point));
                            } else {
                                escaped.appendCodePoint(point);
                            }
                        });
        return escaped.toString();
    }
}
