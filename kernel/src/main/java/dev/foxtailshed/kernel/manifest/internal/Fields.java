package dev.foxtailshed.kernel.manifest.internal;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Reads and validates the fields of one JSON object of the document.
 *
 * <p>A missing or invalid field is reported and yields a neutral value, so that reading continues
 * and finds further problems. Not thread-safe.
 */
final class Fields {

    private static final Pattern NAME = Pattern.compile("[a-z0-9-]{1,63}");
    private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,18}");
    private static final int MAXIMUM_TEXT_CHARACTERS = 512;
    private static final String NOTHING = "nothing";

    private final JsonObject object;
    private final String path;
    private final Problems problems;
    private final Set<String> known = new LinkedHashSet<>();

    Fields(JsonObject object, String path, Problems problems) {
        this.object = object;
        this.path = path;
        this.problems = problems;
    }

    /** Returns the name in a field, or an empty string. */
    String name(String field) {
        return text(field, NAME, "a name of 1 to 63 of a-z, 0-9 and hyphen");
    }

    /** Returns the string in a field, or an empty string. */
    String text(String field, Pattern pattern, String expected) {
        Optional<JsonElement> value = get(field);
        if (value.isPresent() && isString(value.get())) {
            String text = value.get().getAsString();
            if (text.length() <= MAXIMUM_TEXT_CHARACTERS && pattern.matcher(text).matches()) {
                return text;
            }
        }
        report(field, expected, value);
        return "";
    }

    /** Returns the integer in a field, or the minimum. */
    long integer(String field, long minimum, long maximum) {
        Optional<JsonElement> value = get(field);
        if (value.isPresent() && isNumber(value.get())) {
            String digits = value.get().getAsString();
            if (INTEGER.matcher(digits).matches()) {
                long number = Long.parseLong(digits);
                if (number >= minimum && number <= maximum) {
                    return number;
                }
            }
        }
        report(field, "an integer from " + minimum + " to " + maximum, value);
        return minimum;
    }

    /** Returns the boolean in a field, or false. */
    boolean bool(String field) {
        Optional<JsonElement> value = get(field);
        if (value.isPresent()
                && value.get().isJsonPrimitive()
                && value.get().getAsJsonPrimitive().isBoolean()) {
            return value.get().getAsBoolean();
        }
        report(field, "true or false", value);
        return false;
    }

    /** Returns the choice whose label is in a field, or empty. */
    <T> Optional<T> choice(String field, List<T> choices, Function<T, String> labelOf) {
        Optional<JsonElement> value = get(field);
        if (value.isPresent() && isString(value.get())) {
            String label = value.get().getAsString();
            for (T choice : choices) {
                if (labelOf.apply(choice).equals(label)) {
                    return Optional.of(choice);
                }
            }
        }
        String labels = choices.stream().map(labelOf).collect(Collectors.joining(", "));
        report(field, "one of " + labels, value);
        return Optional.empty();
    }

    /** Returns the name in a field and reports it unless it is one of the defined names. */
    String reference(String field, String what, Collection<String> defined) {
        String name = name(field);
        if (!name.isEmpty() && !defined.contains(name)) {
            reportInvalid(field, "the name of a " + what + " of this document");
        }
        return name;
    }

    /** Reads the objects of an array. Elements that are not objects are reported and skipped. */
    <T> List<T> list(String field, Function<Fields, T> read, Function<T, String> keyOf) {
        Optional<JsonElement> value = get(field);
        if (value.isEmpty() || !value.get().isJsonArray()) {
            report(field, "an array", value);
            return List.of();
        }
        JsonArray array = value.get().getAsJsonArray();
        List<T> items = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < array.size(); i++) {
            String itemPath = JsonPaths.item(JsonPaths.child(path, field), i);
            if (!array.get(i).isJsonObject()) {
                problems.add(itemPath, "an object", describe(Optional.of(array.get(i))));
                continue;
            }
            Fields fields = new Fields(array.get(i).getAsJsonObject(), itemPath, problems);
            T item = read.apply(fields);
            fields.reportUnknown();
            String key = keyOf.apply(item);
            if (!key.isEmpty() && !keys.add(key)) {
                fields.reportDuplicate(key);
            }
            items.add(item);
        }
        return items;
    }

    /** Marks all fields as known, for an object whose kind is invalid. */
    void markAllKnown() {
        known.addAll(object.keySet());
    }

    /** Reports a well-formed value that violates a rule. */
    void reportInvalid(String field, String expected) {
        report(field, expected, Optional.ofNullable(object.get(field)));
    }

    /** Reports all fields that were not read. */
    void reportUnknown() {
        for (String field : object.keySet()) {
            if (problems.isFull()) {
                return;
            }
            if (!known.contains(field)) {
                String hint =
                        FieldNameSuggestion.suggest(field, known)
                                .map(meant -> " (did you mean " + meant + "?)")
                                .orElse("");
                String found = describe(Optional.of(object.get(field)));
                problems.add(JsonPaths.child(path, field), "no such field" + hint, found);
            }
        }
    }

    private void reportDuplicate(String key) {
        if (object.has("name")) {
            reportInvalid("name", "a name not used before in this array");
        } else {
            problems.add(
                    path, "an entry that differs from those before it", "\"" + key + "\" again");
        }
    }

    private Optional<JsonElement> get(String field) {
        known.add(field);
        return Optional.ofNullable(object.get(field));
    }

    private void report(String field, String expected, Optional<JsonElement> found) {
        problems.add(JsonPaths.child(path, field), expected, describe(found));
    }

    private static String describe(Optional<JsonElement> found) {
        return found.map(
                        value -> {
                            if (value.isJsonObject()) {
                                return "an object";
                            }
                            return value.isJsonArray()
                                    ? "an array"
                                    : JsonPaths.shorten(value.toString());
                        })
                .orElse(NOTHING);
    }

    private static boolean isString(JsonElement value) {
        return value.isJsonPrimitive() && value.getAsJsonPrimitive().isString();
    }

    private static boolean isNumber(JsonElement value) {
        return value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber();
    }
}
