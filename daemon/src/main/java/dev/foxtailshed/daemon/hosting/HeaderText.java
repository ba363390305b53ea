package dev.foxtailshed.daemon.hosting;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Converts texts of other programs to values of HTTP headers and back.
 *
 * <p>A header carries the UTF-8 bytes of the text, so that different texts have different bytes. A
 * text whose reader would get another text is not converted. Stateless and thread-safe.
 */
public final class HeaderText {

    /**
     * Longest text in bytes. Servers limit the head of a request, often to 8 KB, most of which is
     * for the headers of callers.
     */
    public static final int MAXIMUM_BYTES = 1_024;

    /** Describes the texts that can be converted, for error messages. */
    public static final String DESCRIPTION =
            "1 to "
                    + MAXIMUM_BYTES
                    + " bytes of UTF-8 without control characters, and without spaces at the ends";

    private static final char DELETE = 0x7f;

    /** Stands for bytes that were no UTF-8, so that different texts may look the same. */
    private static final char REPLACEMENT = '\ufffd';

    private HeaderText() {}

    /**
     * Converts a text to the value of a header.
     *
     * @param text the text
     * @return the value, with one character for each byte to send; empty if no header can carry the
     *     text
     */
    public static Optional<String> encode(String text) {
        boolean readable =
                !text.isEmpty()
                        && text.charAt(0) != ' '
                        && text.charAt(text.length() - 1) != ' '
                        && text.chars().noneMatch(HeaderText::isUnreadable);
        if (!readable) {
            return Optional.empty();
        }
        try {
            ByteBuffer bytes = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
            return bytes.remaining() <= MAXIMUM_BYTES
                    ? Optional.of(StandardCharsets.ISO_8859_1.decode(bytes).toString())
                    : Optional.empty();
        } catch (CharacterCodingException e) {
            // An unpaired surrogate has no bytes.
            return Optional.empty();
        }
    }

    /**
     * Converts the value of a header to the text that it carries.
     *
     * @param value the value, with one character for each byte received
     * @return the text, empty if the bytes are not UTF-8
     */
    public static Optional<String> decode(String value) {
        ByteBuffer bytes = StandardCharsets.ISO_8859_1.encode(value);
        try {
            return Optional.of(StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }

    private static boolean isUnreadable(int character) {
        return character < ' ' || character == DELETE || character == REPLACEMENT;
    }
}
