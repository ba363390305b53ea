package dev.foxtailshed.daemon.internal.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.hosting.BoundedJson;
import dev.foxtailshed.daemon.hosting.JsonFields;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.settings.SettingParsers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Converts between the platform's JSON documents and values.
 *
 * <p>Throws IllegalArgumentException if a document is not a JSON object or lacks an expected array.
 */
final class PlatformJson {

    private PlatformJson() {}

    static ObjectListing toListing(byte[] body) {
        JsonObject root = parseObject(body);
        List<ObjectListing.Entry> entries = new ArrayList<>();
        for (JsonElement element : requireArray(root, "objects")) {
            JsonObject object = element.getAsJsonObject();
            entries.add(
                    new ObjectListing.Entry(
                            object.get("name").getAsString(),
                            object.get("version").getAsLong(),
                            object.get("sizeBytes").getAsLong()));
        }
        return new ObjectListing(List.copyOf(entries), root.get("more").getAsBoolean());
    }

    static List<PlatformInstance> toInstances(byte[] body) {
        List<PlatformInstance> instances = new ArrayList<>();
        for (JsonElement element : requireArray(parseObject(body), "instances")) {
            tryToInstance(element).ifPresent(instances::add);
        }
        return List.copyOf(instances);
    }

    /** Parses an instance; one that cannot be read must not hide the others. */
    private static Optional<PlatformInstance> tryToInstance(JsonElement element) {
        try {
            JsonFields fields = JsonFields.of("instance", element);
            return Optional.of(
                    new PlatformInstance(
                            fields.getString("name"),
                            fields.getString("role"),
                            fields.getString("zone"),
                            SettingParsers.address(fields.getString("address")),
                            fields.getString("state").equals("leaving")));
        } catch (IllegalArgumentException e) {
            EventLog.log(
                    EventCode.STORE_ENTRY_UNREADABLE,
                    Field.of("collection", "instances"),
                    Field.of("cause", e.getMessage()));
            return Optional.empty();
        }
    }

    static byte[] toBytes(List<PlatformInstance> instances) {
        JsonArray array = new JsonArray();
        for (PlatformInstance instance : instances) {
            JsonObject object = new JsonObject();
            object.addProperty("name", instance.name());
            object.addProperty("role", instance.role());
            object.addProperty("zone", instance.zone());
            String host = instance.address().getAddress().getHostAddress();
            object.addProperty("address", host + ":" + instance.address().getPort());
            object.addProperty("state", instance.leaving() ? "leaving" : "live");
            array.add(object);
        }
        JsonObject root = new JsonObject();
        root.add("instances", array);
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonObject parseObject(byte[] body) {
        return JsonFields.of("the platform's response", BoundedJson.parse(body)).toJsonObject();
    }

    private static JsonArray requireArray(JsonObject root, String name) {
        JsonElement element = root.get(name);
        if (element == null || !element.isJsonArray()) {
            throw new IllegalArgumentException("the platform's response has no array " + name);
        }
        return element.getAsJsonArray();
    }
}
