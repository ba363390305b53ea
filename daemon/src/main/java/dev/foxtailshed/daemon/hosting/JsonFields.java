package dev.foxtailshed.daemon.hosting;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Provides strict, typed access to the fields of a JSON object.
 *
 * <p>Throws an {@link IllegalArgumentException} with the path of the field if a field is missing or
 * has another type. Thread-safe if the object is not modified.
 */
public final class JsonFields {

    /** Part of a value that error messages contain; another program may write any length. */
    private static final int MAXIMUM_VALUE_CHARACTERS = 120;

    /** Largest limit or duration in milliseconds, of which many can be added up. */
    public static final long LARGEST_LIMIT = 1L << 53;

    private static final int MILLI_DIGITS = 3;

    private final String path;
    private final JsonObject object;

    private JsonFields(String path, JsonObject object) {
        this.path = path;
        this.object = object;
    }

    /**
     * Wraps a JSON object.
     *
     * @param path the object's path in the document, empty for the root; used in error messages
     * @param element the element, which may be null
     * @return its fields
     * @throws IllegalArgumentException if the element is not an object
     */
    public static JsonFields of(String path, JsonElement element) {
        if (element == null || !element.isJsonObject()) {
            throw new IllegalArgumentException(
                    (path.isEmpty() ? "document" : path) + ": expected an object");
        }
        return new JsonFields(path, element.getAsJsonObject());
    }

    /**
     * Returns whether a field is present and not JSON null.
     *
     * @param name the field's name
     * @return true if it has a value
     */
    public boolean has(String name) {
        return object.has(name) && !object.get(name).isJsonNull();
    }

    /**
     * Returns a string.
     *
     * @param name the field's name
     * @return the value
     * @throws IllegalArgumentException if the field is not a string
     */
    public String getString(String name) {
        JsonPrimitive value = getPrimitive(name, "a string");
        if (!value.isString()) {
            throw invalidField(name, "a string");
        }
        return value.getAsString();
    }

    /**
     * Returns an integer, however it is written; 2.0 and 2e0 are 2.
     *
     * @param name the field's name
     * @param minimum the smallest allowed value
     * @return the value
     * @throws IllegalArgumentException if the field is not an integer, is out of range, or does not
     *     fit into 64 bits
     */
    public long getLong(String name, long minimum) {
        String description = "an integer of at least " + minimum;
        BigDecimal value = getNumber(name, description);
        boolean valid =
                value.scale() <= 0
                        && value.compareTo(BigDecimal.valueOf(minimum)) >= 0
                        && value.compareTo(BigDecimal.valueOf(Long.MAX_VALUE)) <= 0;
        if (!valid) {
            throw invalidField(name, description);
        }
        return value.longValueExact();
    }

    /**
     * Returns an integer that fits into 32 bits.
     *
     * @param name the field's name
     * @param minimum the smallest allowed value
     * @return the value
     * @throws IllegalArgumentException if the field is not an integer or is out of range
     */
    public int getInt(String name, int minimum) {
        long value = getLong(name, minimum);
        if (value > Integer.MAX_VALUE) {
            throw invalidField(name, "an integer from " + minimum + " to " + Integer.MAX_VALUE);
        }
        return (int) value;
    }

    /**
     * Returns a number with all its digits.
     *
     * @param name the field's name
     * @return the value, not negative; equal numbers are equal objects, however they are written
     * @throws IllegalArgumentException if the field is not a number, or is negative
     */
    public BigDecimal getDecimal(String name) {
        String description = "a number of at least 0";
        BigDecimal value = getNumber(name, description);
        if (value.signum() < 0) {
            throw invalidField(name, description);
        }
        return value;
    }

    /**
     * Returns a limit on things that come whole, such as bytes or requests: the largest integer
     * that is within the number.
     *
     * @param name the field's name
     * @param minimum the smallest allowed value
     * @return the limit, at most {@link #LARGEST_LIMIT}, which has the same effect as any larger
     *     one
     * @throws IllegalArgumentException if the field is not a number or is out of range
     */
    public long getLimit(String name, long minimum) {
        return toLong(name, getDecimal(name), RoundingMode.FLOOR, minimum);
    }

    /**
     * Returns a duration in milliseconds; a part of a millisecond counts as a whole one.
     *
     * @param name the field's name, whose unit is milliseconds
     * @param minimum the smallest allowed value
     * @return the duration, at most {@link #LARGEST_LIMIT}
     * @throws IllegalArgumentException if the field is not a number or is out of range
     */
    public long getMillis(String name, long minimum) {
        return toLong(name, getDecimal(name), RoundingMode.CEILING, minimum);
    }

    /**
     * Returns a duration that the document gives in seconds.
     *
     * @param name the field's name, whose unit is seconds
     * @return the duration in milliseconds, rounded up, at most {@link #LARGEST_LIMIT}
     * @throws IllegalArgumentException if the field is not a number or is negative
     */
    public long getSecondsAsMillis(String name) {
        return toLong(name, getDecimal(name).movePointRight(MILLI_DIGITS), RoundingMode.CEILING, 0);
    }

    private long toLong(String name, BigDecimal value, RoundingMode rounding, long minimum) {
        boolean isLargest = value.compareTo(BigDecimal.valueOf(LARGEST_LIMIT)) >= 0;
        long result = isLargest ? LARGEST_LIMIT : value.setScale(0, rounding).longValue();
        if (result < minimum) {
            throw invalidField(name, "a number of at least " + minimum);
        }
        return result;
    }

    /**
     * Returns a finite number.
     *
     * @param name the field's name
     * @param minimum the smallest allowed value
     * @return the value
     * @throws IllegalArgumentException if the field is not a number or is out of range
     */
    public double getDouble(String name, double minimum) {
        String description = "a number of at least " + new BigDecimal(minimum).toPlainString();
        double value = getNumber(name, description).doubleValue();
        if (value < minimum || Double.isInfinite(value) || Double.isNaN(value)) {
            throw invalidField(name, description);
        }
        return value;
    }

    /**
     * Returns a boolean.
     *
     * @param name the field's name
     * @return the value
     * @throws IllegalArgumentException if the field is not a boolean
     */
    public boolean getBoolean(String name) {
        JsonPrimitive value = getPrimitive(name, "true or false");
        if (!value.isBoolean()) {
            throw invalidField(name, "true or false");
        }
        return value.getAsBoolean();
    }

    /**
     * Returns a nested object.
     *
     * @param name the field's name
     * @return its fields
     * @throws IllegalArgumentException if the field is not an object
     */
    public JsonFields getObject(String name) {
        return of(pathOf(name), object.get(name));
    }

    /**
     * Returns a nested object that may be absent.
     *
     * @param name the field's name
     * @return its fields, or empty if the field is missing or JSON null
     */
    public Optional<JsonFields> getOptionalObject(String name) {
        return has(name) ? Optional.of(getObject(name)) : Optional.empty();
    }

    /**
     * Returns an array of objects.
     *
     * @param name the field's name
     * @return the fields of each element, in order
     * @throws IllegalArgumentException if the field is not an array of objects
     */
    public List<JsonFields> getObjects(String name) {
        JsonArray array = getArray(name);
        List<JsonFields> all = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            all.add(of(pathOf(name) + "[" + i + "]", array.get(i)));
        }
        return all;
    }

    /**
     * Returns an array of strings.
     *
     * @param name the field's name
     * @return the strings, in order
     * @throws IllegalArgumentException if the field is not an array of strings
     */
    public List<String> getStrings(String name) {
        List<String> all = new ArrayList<>();
        for (JsonElement element : getArray(name)) {
            if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isString()) {
                throw invalidField(name, "an array of strings");
            }
            all.add(element.getAsString());
        }
        return all;
    }

    /**
     * Returns the object itself.
     *
     * @return the object that these fields belong to, not a copy
     */
    public JsonObject toJsonObject() {
        return object;
    }

    /**
     * Returns a field without checking its type.
     *
     * @param name the field's name
     * @return the element, or null if the field is missing
     */
    public JsonElement getElement(String name) {
        return object.get(name);
    }

    /**
     * Creates, but does not throw, the exception for a field with an unexpected value.
     *
     * @param name the field's name
     * @param description a description of the expected value
     * @return the exception, whose message has the field's path and the start of its actual value
     */
    public IllegalArgumentException invalidField(String name, String description) {
        JsonElement found = object.get(name);
        String value = found == null ? "nothing" : shorten(found.toString());
        return new IllegalArgumentException(
                pathOf(name) + ": expected " + description + ", found " + value);
    }

    private static String shorten(String value) {
        return value.length() <= MAXIMUM_VALUE_CHARACTERS
                ? value
                : value.substring(0, MAXIMUM_VALUE_CHARACTERS) + "...";
    }

    /**
     * Returns an array of any elements.
     *
     * @param name the field's name
     * @return the array itself, not a copy
     * @throws IllegalArgumentException if the field is not an array
     */
    public JsonArray getArray(String name) {
        JsonElement element = object.get(name);
        if (element == null || !element.isJsonArray()) {
            throw invalidField(name, "an array");
        }
        return element.getAsJsonArray();
    }

    /** Returns a number without trailing zeros of a fraction, and without a positive exponent. */
    private BigDecimal getNumber(String name, String description) {
        JsonPrimitive value = getPrimitive(name, description);
        if (!value.isNumber()) {
            throw invalidField(name, description);
        }
        try {
            BigDecimal number = value.getAsBigDecimal().stripTrailingZeros();
            return number.scale() < 0 ? number.setScale(0) : number;
        } catch (NumberFormatException e) {
            // Gson refuses numbers whose digits would take much memory.
            throw invalidField(name, description);
        }
    }

    private JsonPrimitive getPrimitive(String name, String description) {
        JsonElement element = object.get(name);
        if (element == null || !element.isJsonPrimitive()) {
            throw invalidField(name, description);
        }
        return element.getAsJsonPrimitive();
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
