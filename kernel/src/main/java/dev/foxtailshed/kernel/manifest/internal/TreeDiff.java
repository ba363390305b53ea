package dev.foxtailshed.kernel.manifest.internal;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.foxtailshed.kernel.manifest.ManifestDiff.Change;
import dev.foxtailshed.kernel.manifest.ManifestDiff.Kind;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Compares two JSON trees whose arrays contain named entries. Not thread-safe. */
public final class TreeDiff {

    private final List<Change> changes = new ArrayList<>();

    private TreeDiff() {}

    /**
     * Compares two trees.
     *
     * @param before the earlier tree
     * @param after the later tree
     * @return the differences
     */
    public static List<Change> compare(JsonElement before, JsonElement after) {
        TreeDiff diff = new TreeDiff();
        diff.compare("$", before, after);
        return List.copyOf(diff.changes);
    }

    private void compare(String path, JsonElement before, JsonElement after) {
        if (before.isJsonObject() && after.isJsonObject()) {
            compareChildren(path, fieldsOf(before), fieldsOf(after));
        } else if (before.isJsonArray() && after.isJsonArray()) {
            compareChildren(path, itemsOf(before), itemsOf(after));
        } else if (!before.toString().equals(after.toString())) {
            add(path, Kind.CHANGED, Optional.of(before), Optional.of(after));
        }
    }

    private void compareChildren(
            String path, Map<String, JsonElement> before, Map<String, JsonElement> after) {
        Set<String> keys = new LinkedHashSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String key : keys) {
            JsonElement earlier = before.get(key);
            JsonElement later = after.get(key);
            if (earlier == null) {
                add(path + key, Kind.ADDED, Optional.empty(), Optional.of(later));
            } else if (later == null) {
                add(path + key, Kind.REMOVED, Optional.of(earlier), Optional.empty());
            } else {
                compare(path + key, earlier, later);
            }
        }
    }

    private void add(
            String path, Kind kind, Optional<JsonElement> before, Optional<JsonElement> after) {
        changes.add(
                new Change(
                        path,
                        kind,
                        before.map(JsonElement::toString),
                        after.map(JsonElement::toString)));
    }

    private static Map<String, JsonElement> fieldsOf(JsonElement element) {
        Map<String, JsonElement> fields = new LinkedHashMap<>();
        element.getAsJsonObject()
                .asMap()
                .forEach((key, value) -> fields.put(JsonPaths.child("", key), value));
        return fields;
    }

    private static Map<String, JsonElement> itemsOf(JsonElement element) {
        Map<String, JsonElement> items = new LinkedHashMap<>();
        JsonArray array = element.getAsJsonArray();
        for (int i = 0; i < array.size(); i++) {
            String key = "[" + keyOf(array.get(i)).orElse(Integer.toString(i)) + "]";
            // A second entry with the same name must not replace the first.
            items.put(items.containsKey(key) ? "[" + i + "]" : key, array.get(i));
        }
        return items;
    }

    private static Optional<String> keyOf(JsonElement item) {
        if (!item.isJsonObject()) {
            return Optional.empty();
        }
        JsonObject object = item.getAsJsonObject();
        if (object.has("name")) {
            return textOf(object, "name");
        }
        return textOf(object, "method")
                .flatMap(method -> textOf(object, "pathPrefix").map(path -> method + " " + path));
    }

    private static Optional<String> textOf(JsonObject object, String field) {
        JsonElement value = object.get(field);
        return value != null && value.isJsonPrimitive()
                ? Optional.of(value.getAsString())
                : Optional.empty();
    }
}
