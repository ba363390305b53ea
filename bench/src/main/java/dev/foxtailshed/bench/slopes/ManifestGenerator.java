package dev.foxtailshed.bench.slopes;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/** Generates manifests of any size, with contents similar to the sample manifests. */
final class ManifestGenerator {

    private static final String CLASSES =
            "[{\"name\":\"lookup\",\"priority\":0,\"timeToFirstTokenMillis\":250,"
                    + "\"timeBetweenTokensMillis\":0,\"timeoutMillis\":4000,\"patient\":false},"
                    + "{\"name\":\"waiting\",\"priority\":2,\"timeToFirstTokenMillis\":720,"
                    + "\"timeBetweenTokensMillis\":31,\"timeoutMillis\":30000,\"patient\":false}]";
    private static final String POOLS =
            "[{\"name\":\"prefill\",\"kind\":\"prefill\",\"requestSlots\":8,\"kvPieces\":2000,"
                    + "\"tokensPerPiece\":16,\"kvBytesPerToken\":1000,"
                    + "\"linkBytesPerSecond\":100000000,\"prefillTokensPerSecond\":8000},"
                    + "{\"name\":\"decode\",\"kind\":\"decode\",\"requestSlots\":20,"
                    + "\"kvPieces\":2000,\"tokensPerPiece\":16,\"kvBytesPerToken\":1000,"
                    + "\"linkBytesPerSecond\":100000000},"
                    + "{\"name\":\"orders\",\"kind\":\"plain\",\"requestSlots\":32}]";
    private static final String POLICIES =
            "[{\"name\":\"default\",\"router\":\"reserve-first\",\"retryBudgetPercent\":50,"
                    + "\"queueLimit\":500,\"maximumAttempts\":4,\"preferZonePenaltyMillis\":2}]";

    private ManifestGenerator() {}

    static String generate(int modelDeployments, int plainServers, String plainPrefix) {
        JsonObject manifest = new JsonObject();
        manifest.addProperty("name", "slopes");
        manifest.addProperty("region", "r1");
        manifest.add("zones", JsonParser.parseString("[{\"name\":\"a\"}]"));
        manifest.add("classes", JsonParser.parseString(CLASSES));
        manifest.add("pools", JsonParser.parseString(POOLS));
        manifest.add("servers", servers(plainServers, plainPrefix));
        manifest.add("policies", JsonParser.parseString(POLICIES));
        manifest.add("deployments", deployments(modelDeployments));
        return manifest.toString();
    }

    private static JsonArray servers(int plainServers, String plainPrefix) {
        JsonArray servers = new JsonArray();
        servers.add(server("p1", "prefill"));
        servers.add(server("d1", "decode"));
        for (int i = 0; i < plainServers; i++) {
            servers.add(server(plainPrefix + i, "orders"));
        }
        return servers;
    }

    private static JsonObject server(String name, String pool) {
        JsonObject server = new JsonObject();
        server.addProperty("name", name);
        server.addProperty("pool", pool);
        server.addProperty("zone", "a");
        server.addProperty("checksFencing", false);
        return server;
    }

    private static JsonArray deployments(int count) {
        JsonArray deployments = new JsonArray();
        for (int i = 0; i < count; i++) {
            JsonObject deployment = new JsonObject();
            deployment.addProperty("name", "workspace-" + i);
            deployment.addProperty("kind", "model");
            deployment.addProperty("policy", "default");
            deployment.addProperty("defaultClass", "waiting");
            deployment.addProperty("model", "m" + i % 6);
            deployment.addProperty("prefillPool", "prefill");
            deployment.addProperty("decodePool", "decode");
            deployment.addProperty("maximumPromptTokens", 12_000);
            deployment.addProperty("maximumOutputTokens", 2_000);
            deployments.add(deployment);
        }
        deployments.add(
                JsonParser.parseString(
                        "{\"name\":\"orders\",\"kind\":\"plain\",\"policy\":\"default\","
                                + "\"defaultClass\":\"lookup\",\"pool\":\"orders\",\"routes\":["
                                + "{\"method\":\"GET\",\"pathPrefix\":\"/stock\","
                                + "\"class\":\"lookup\",\"repeatable\":true}]}"));
        return deployments;
    }
}
