package dev.foxtailshed.kernel.direct;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Brings the paths of URLs to one form, in which the same path has the same text.
 *
 * <p>Clients cannot send letters beyond ASCII in a path; they send their UTF-8 bytes as percent
 * signs with two hexadecimal digits, in either case. Nothing is decoded, so that a slash and its
 * escaped form stay different. Stateless and thread-safe.
 */
public final class UrlPath {

    private static final HexFormat HEXADECIMAL = HexFormat.of().withUpperCase();
    private static final int ESCAPE_LENGTH = 3;

    private UrlPath() {}

    /**
     * Returns a path in ASCII, with the digits of its escapes in upper case.
     *
     * @param path a path as a client sends it, or as an operator writes it
     * @return the path in the common form
     */
    public static String normalize(String path) {
        if (path.chars().allMatch(c -> c > ' ' && c <= '~' && c != '%')) {
            return path;
        }
        StringBuilder normal = new StringBuilder(path.length());
        for (int i = 0; i < path.length(); ) {
            int point = path.codePointAt(i);
            if (isEscape(path, i)) {
                normal.append('%');
                normal.append(
                        HEXADECIMAL.toHexDigits(
                                (byte) HexFormat.fromHexDigits(path, i + 1, i + ESCAPE_LENGTH)));
                i += ESCAPE_LENGTH;
            } else {
                append(normal, point);
                i += Character.charCount(point);
            }
        }
        return normal.toString();
    }

    private static boolean isEscape(String path, int at) {
        return path.charAt(at) == '%'
                && at + ESCAPE_LENGTH <= path.length()
                && HexFormat.isHexDigit(path.charAt(at + 1))
                && HexFormat.isHexDigit(path.charAt(at + 2));
    }

    private static void append(StringBuilder normal, int point) {
        if (point > ' ' && point <= '~') {
            normal.appendCodePoint(point);
            return;
        }
        for (byte octet : Character.toString(point).getBytes(StandardCharsets.UTF_8)) {
            normal.append('%').append(HEXADECIMAL.toHexDigits(octet));
        }
    }
}
