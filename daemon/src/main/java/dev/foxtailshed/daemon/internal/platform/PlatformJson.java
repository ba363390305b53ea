package dev.foxtailshed.daemon.internal.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import dev.foxtailshed.daemon.internal.settings.SettingParsers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

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
            JsonObject object = element.getAsJsonObject();
            instances.add(
                    new PlatformInstance(
                            object.get("name").getAsString(),
                            object.get("role").getAsString(),
                            object.get("zone").getAsString(),
                            SettingParsers.address(object.get("address").getAsString()),
                            object.get("state").getAsString().equals("leaving")));
        }
        return List.copyOf(instances);
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
        try {
            return JsonParser.parseString(new String(body, StandardCharsets.UTF_8))
                    .getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new IllegalArgumentException("the platform's response is not a JSON object", e);
        }
    }

    private static JsonArray requireArray(JsonObject root, String name) {
        JsonElement element = root.get(name);
        if (element == null || !element.isJsonArray()) {
            throw new IllegalArgumentException("the platform's response has no array " + name);
        }
        return element.getAsJsonArray();
    }
}
