package dev.foxtailshed.kernel.manifest.internal;

import com.google.gson.JsonPrimitive;
import java.util.regex.Pattern;

/** Formats JSON paths and values for problem reports. */
final class JsonPaths {

    private static final Pattern PLAIN_KEY = Pattern.compile("[A-Za-z_][A-Za-z0-9_-]{0,62}");
    private static final int MAXIMUM_FOUND_CHARACTERS = 60;

    private JsonPaths() {}

    static String child(String path, String key) {
        if (PLAIN_KEY.matcher(key).matches()) {
            return path + "." + key;
        }
        return path + "[" + shorten(new JsonPrimitive(key).toString()) + "]";
    }

    static String item(String path, int index) {
        return path + "[" + index + "]";
    }

    static String shorten(String text) {
        if (text.length() <= MAXIMUM_FOUND_CHARACTERS) {
            return text;
        }
        return text.substring(0, MAXIMUM_FOUND_CHARACTERS) + "...";
    }
}
