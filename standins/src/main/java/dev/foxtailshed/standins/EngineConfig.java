package dev.foxtailshed.standins;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The configuration of one engine, from the command line or a configuration file.
 *
 * <p>Immutable. Unknown fields and values of the wrong type are refused.
 *
 * @param listenAddress the address to listen on
 * @param settings the settings of the engine
 */
record EngineConfig(InetSocketAddress listenAddress, EngineSettings settings) {

    private static final Gson GSON = new Gson();
    private static final String LISTEN = "listen";

    /** Reads a JSON array of engine configurations, with at least one element. */
    static List<EngineConfig> readAll(String json) {
        JsonElement[] elements = GSON.fromJson(json, JsonElement[].class);
        if (elements == null || elements.length == 0) {
            throw new IllegalArgumentException("config: expected at least one engine");
        }
        List<EngineConfig> engines = new ArrayList<>();
        for (JsonElement element : elements) {
            if (!element.isJsonObject()) {
                throw new JsonParseException("config: expected an object for each engine");
            }
            engines.add(read(element.getAsJsonObject()));
        }
        return engines;
    }

    /** Reads one engine configuration from the settings and the field {@code listen}. */
    static EngineConfig read(JsonObject json) {
        EngineSettings.Builder builder = GSON.fromJson(json, EngineSettings.Builder.class);
        Set<String> unknown = new TreeSet<>(json.keySet());
        unknown.removeAll(GSON.toJsonTree(EngineSettings.builder()).getAsJsonObject().keySet());
        unknown.remove(LISTEN);
        if (!unknown.isEmpty()) {
            throw new IllegalArgumentException("unknown settings: " + unknown);
        }
        if (!json.has(LISTEN)) {
            throw new IllegalArgumentException("listen: missing");
        }
        InetSocketAddress listen = CommandLine.parseAddress(json.get(LISTEN).getAsString());
        return new EngineConfig(listen, builder.build());
    }
}
