package dev.foxtailshed.harness;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;

/** A read-only view of a manifest that looks up what is needed to start its backend servers. */
final class ManifestView {

    private final JsonObject manifest;

    ManifestView(String document) {
        manifest = JsonParser.parseString(document).getAsJsonObject();
    }

    List<String> servers() {
        List<String> servers = new ArrayList<>();
        for (JsonElement element : manifest.getAsJsonArray("servers")) {
            servers.add(element.getAsJsonObject().get("name").getAsString());
        }
        return servers;
    }

    JsonObject serverOf(String name) {
        return elementNamed("servers", name);
    }

    JsonObject poolOf(String server) {
        return elementNamed("pools", serverOf(server).get("pool").getAsString());
    }

    JsonObject elementNamed(String array, String name) {
        for (JsonElement element : manifest.getAsJsonArray(array)) {
            if (element.getAsJsonObject().get("name").getAsString().equals(name)) {
                return element.getAsJsonObject();
            }
        }
        throw new IllegalArgumentException("no element named " + name + " in the array " + array);
    }

    boolean isPlain(String server) {
        return poolOf(server).get("kind").getAsString().equals("plain");
    }

    String zoneOf(String server) {
        return serverOf(server).get("zone").getAsString();
    }

    String firstZone() {
        return manifest.getAsJsonArray("zones").get(0).getAsJsonObject().get("name").getAsString();
    }
}
