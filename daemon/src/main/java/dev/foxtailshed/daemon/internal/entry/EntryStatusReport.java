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

/** Reports the servers that this entry knows, and what its callers got. Thread-safe. */
final class EntryStatusReport implements StatusReport {

    private final String instance;
    private final ManifestHolder manifests;
    private final SidecarRegistry fleet;
    private final EntryMetrics metrics;

    EntryStatusReport(
            String instance,
            ManifestHolder manifests,
            SidecarRegistry fleet,
            EntryMetrics metrics) {
        this.instance = instance;
        this.manifests = manifests;
        this.fleet = fleet;
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
            array.add(toJson(server, fleet.link(server.name())));
        }
        return array;
    }

    private static JsonObject toJson(BackendServer server, Optional<SidecarConnection> link) {
        JsonObject json = new JsonObject();
        json.addProperty("name", server.name());
        json.addProperty("pool", server.pool());
        json.addProperty("zone", server.zone());
        json.addProperty("state", link.map(EntryStatusReport::stateOf).orElse("unknown"));
        ServerView view =
                link.map(SidecarConnection::view)
                        .orElse(new ServerView(server.name(), server.zone(), false, 0, 0, 0, 0, 1));
        json.addProperty("freeSlots", view.freeSlots());
        json.addProperty("freePieces", view.freePieces());
        json.addProperty("queuedTokens", view.queuedTokens());
        json.addProperty("linkBacklogBytes", view.linkBacklogBytes());
        json.addProperty(
                "manifestVersion",
                link.flatMap(SidecarConnection::report)
                        .map(Message.LoadReport::manifestVersion)
                        .orElse(0L));
        return json;
    }

    private static String stateOf(SidecarConnection link) {
        if (!link.isConnected()) {
            return "unreachable";
        }
        return link.isLeaving() ? "leaving" : "live";
    }

    private JsonArray goodput() {
        Map<String, JsonObject> rows = new TreeMap<>();
        for (String what : List.of("met", "missed", "failed")) {
            metrics.requestsBy(what)
                    .forEach(
                            (label, count) -> {
                                JsonObject row =
                                        rows.computeIfAbsent(
                                                label.toString(), ignored -> newRow(label));
                                row.addProperty(what, count);
                            });
        }
        JsonArray array = new JsonArray();
        rows.values().forEach(array::add);
        return array;
    }

    private static JsonObject newRow(EntryMetrics.MetricLabels label) {
        JsonObject row = new JsonObject();
        row.addProperty("deployment", label.deployment());
        row.addProperty("requestClass", label.requestClass());
        row.addProperty("met", 0);
        row.addProperty("missed", 0);
        row.addProperty("failed", 0);
        return row;
    }
}
