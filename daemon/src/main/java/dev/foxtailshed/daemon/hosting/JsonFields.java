package dev.foxtailshed.daemon.hosting;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the fields of a JSON object strictly.
 *
 * <p>A field that is missing or of another type is refused with an {@link IllegalArgumentException}
 * that names its place. Thread-safe.
 */
public final class JsonFields {

    private final String path;
    private final JsonObject object;

    private JsonFields(String path, JsonObject object) {
        this.path = path;
        this.object = object;
    }

    /**
     * Opens an object.
     *
     * @param path its place in the document, empty for the root
     * @param element the element, which must be an object
     * @return its fields
     */
    public static JsonFields of(String path, JsonElement element) {
        if (element == null || !element.isJsonObject()) {
            throw new IllegalArgumentException(
                    (path.isEmpty() ? "document" : path) + ": expected an object");
        }
        return new JsonFields(path, element.getAsJsonObject());
    }

    /**
     * Tells whether a field is present and not null.
     *
     * @param name the field's name
     * @return true if it has a value
     */
    public boolean has(String name) {
        return object.has(name) && !object.get(name).isJsonNull();
    }

    /**
     * Reads a text.
     *
     * @param name the field's name
     * @return its value
     */
    public String text(String name) {
        JsonPrimitive value = primitive(name, "a text");
        if (!value.isString()) {
            throw expected(name, "a text");
        }
        return value.getAsString();
    }

    /**
     * Reads a whole number.
     *
     * @param name the field's name
     * @param minimum the smallest value allowed
     * @return its value
     */
    public long whole(String name, long minimum) {
        String wanted = "a whole number from " + minimum;
        double value = decimal(name, wanted);
        if (value != Math.rint(value) || value < minimum || Math.abs(value) > 1L << 53) {
            throw expected(name, wanted);
        }
        return (long) value;
    }

    /**
     * Reads a number.
     *
     * @param name the field's name
     * @param minimum the smallest value allowed
     * @return its value
     */
    public double number(String name, double minimum) {
        String wanted = "a number from " + new BigDecimal(minimum).toPlainString();
        double value = decimal(name, wanted);
        if (value < minimum || Double.isInfinite(value) || Double.isNaN(value)) {
            throw expected(name, wanted);
        }
        return value;
    }

    /**
     * Reads a flag.
     *
     * @param name the field's name
     * @return its value
     */
    public boolean flag(String name) {
        JsonPrimitive value = primitive(name, "true or false");
        if (!value.isBoolean()) {
            throw expected(name, "true or false");
        }
        return value.getAsBoolean();
    }

    /**
     * Reads an object.
     *
     * @param name the field's name
     * @return its fields
     */
    public JsonFields object(String name) {
        return of(pathOf(name), object.get(name));
    }

    /**
     * Reads an object that may be absent.
     *
     * @param name the field's name
     * @return its fields, or nothing
     */
    public Optional<JsonFields> optionalObject(String name) {
        return has(name) ? Optional.of(object(name)) : Optional.empty();
    }

    /**
     * Reads a list of objects.
     *
     * @param name the field's name
     * @return the fields of each
     */
    public List<JsonFields> objects(String name) {
        JsonArray array = array(name);
        List<JsonFields> all = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            all.add(of(pathOf(name) + "[" + i + "]", array.get(i)));
        }
        return all;
    }

    /**
     * Reads a list of texts.
     *
     * @param name the field's name
     * @return the texts
     */
    public List<String> texts(String name) {
        List<String> all = new ArrayList<>();
        for (JsonElement element : array(name)) {
            if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isString()) {
                throw expected(name, "a list of texts");
            }
            all.add(element.getAsString());
        }
        return all;
    }

    /**
     * Returns a field as it is.
     *
     * @param name the field's name
     * @return its value, null if it is missing
     */
    public JsonElement element(String name) {
        return object.get(name);
    }

    /**
     * Builds the error for a field.
     *
     * @param name the field's name
     * @param wanted what was expected
     * @return the error
     */
    public IllegalArgumentException expected(String name, String wanted) {
        JsonElement found = object.get(name);
        String what = found == null ? "nothing" : found.toString();
        return new IllegalArgumentException(
                pathOf(name) + ": expected " + wanted + ", found " + what);
    }

    private JsonArray array(String name) {
        JsonElement element = object.get(name);
        if (element == null || !element.isJsonArray()) {
            throw expected(name, "a list");
        }
        return element.getAsJsonArray();
    }

    private double decimal(String name, String wanted) {
        JsonPrimitive value = primitive(name, wanted);
        if (!value.isNumber()) {
            throw expected(name, wanted);
        }
        return value.getAsDouble();
    }

    private JsonPrimitive primitive(String name, String wanted) {
        JsonElement element = object.get(name);
        if (element == null || !element.isJsonPrimitive()) {
            throw expected(name, wanted);
        }
        return element.getAsJsonPrimitive();
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
