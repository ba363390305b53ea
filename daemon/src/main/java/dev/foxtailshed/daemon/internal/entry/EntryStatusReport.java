package dev.foxtailshed.daemon.internal.entry;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.internal.manifest.ManifestHolder;
import dev.foxtailshed.daemon.internal.operator.StatusReport;
import dev.foxtailshed.kernel.manifest.BackendServer;
import dev.foxtailshed.kernel.routing.ServerView;
import dev.foxtailshed.wire.Message;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Reports the state of the manifest's servers and the request counts of this entry. Thread-safe.
 */
final class EntryStatusReport implements StatusReport {

    private final String instance;
    private final ManifestHolder manifests;
    private final SidecarRegistry sidecars;
    private final EntryMetrics metrics;

    EntryStatusReport(
            String instance,
            ManifestHolder manifests,
            SidecarRegistry sidecars,
            EntryMetrics metrics) {
        this.instance = instance;
        this.manifests = manifests;
        this.sidecars = sidecars;
        this.metrics = metrics;
    }

    @Override
    public JsonObject toJson() {
        JsonObject body = new JsonObject();
        body.addProperty("instance", instance);
        body.addProperty("manifestVersion", manifests.version());
        body.add("servers", servers());
        body.add("goodput", goodput());
        body.addProperty("prefillTokens", metrics.sumOf("prefillTokens.read"));
        body.addProperty("wastedPrefillTokens", metrics.sumOf("prefillTokens.wasted"));
        return body;
    }

    private JsonArray servers() {
        JsonArray array = new JsonArray();
        List<BackendServer> servers =
                manifests.inForce().manifest().stream()
                        .flatMap(manifest -> manifest.servers().stream())
                        .toList();
        for (BackendServer server : servers) {
            array.add(toJson(server, sidecars.connection(server.name())));
        }
        return array;
    }

    private static JsonObject toJson(BackendServer server, Optional<SidecarConnection> connection) {
        JsonObject json = new JsonObject();
        json.addProperty("name", server.name());
        json.addProperty("pool", server.pool());
        json.addProperty("zone", server.zone());
        json.addProperty("state", connection.map(EntryStatusReport::stateOf).orElse("unknown"));
        ServerView view =
                connection
                        .map(SidecarConnection::view)
                        .orElse(new ServerView(server.name(), server.zone(), false, 0, 0, 0, 0, 1));
        json.addProperty("freeSlots", view.freeSlots());
        json.addProperty("freePieces", view.freePieces());
        json.addProperty("queuedTokens", view.queuedTokens());
        json.addProperty("linkBacklogBytes", view.linkBacklogBytes());
        json.addProperty(
                "manifestVersion",
                connection
                        .flatMap(SidecarConnection::report)
                        .map(Message.LoadReport::manifestVersion)
                        .orElse(0L));
        return json;
    }

    private static String stateOf(SidecarConnection connection) {
        if (!connection.isConnected()) {
            return "unreachable";
        }
        return connection.isLeaving() ? "leaving" : "live";
    }

    private JsonArray goodput() {
        Map<String, JsonObject> rows = new TreeMap<>();
        for (String outcome : List.of("met", "missed", "failed")) {
            metrics.requestsBy(outcome)
                    .forEach(
                            (labels, count) -> {
                                JsonObject row =
                                        rows.computeIfAbsent(
                                                labels.toString(), ignored -> newRow(labels));
                                row.addProperty(outcome, count);
                            });
        }
        JsonArray array = new JsonArray();
        rows.values().forEach(array::add);
        return array;
    }

    private static JsonObject newRow(EntryMetrics.MetricLabels labels) {
        JsonObject row = new JsonObject();
        row.addProperty("deployment", labels.deployment());
        row.addProperty("requestClass", labels.requestClass());
        row.addProperty("met", 0);
        row.addProperty("missed", 0);
        row.addProperty("failed", 0);
        return row;
    }
}
