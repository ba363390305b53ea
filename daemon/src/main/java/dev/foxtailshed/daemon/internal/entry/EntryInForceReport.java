package dev.foxtailshed.daemon.internal.entry;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import dev.foxtailshed.daemon.internal.http.ClientRequests;
import dev.foxtailshed.daemon.internal.manifest.AppliedManifest;
import dev.foxtailshed.daemon.internal.manifest.ManifestHolder;
import dev.foxtailshed.daemon.internal.operator.InForceReport;
import dev.foxtailshed.daemon.internal.platform.PlatformInstance;
import dev.foxtailshed.wire.Message;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Reports the manifest versions in force at this entry, at its sidecars and, unless only the local
 * part is requested, at the other entries in the platform's instance list. Thread-safe.
 */
final class EntryInForceReport implements InForceReport {

    private static final String ENTRY_ROLE = "entry";
    private static final long TIMEOUT_MILLIS = 2_000;

    private final String instance;
    private final String authorizationHeader;
    private final ManifestHolder manifests;
    private final SidecarRegistry sidecars;
    private final HttpClient httpClient;

    EntryInForceReport(
            String instance,
            String authorizationHeader,
            ManifestHolder manifests,
            SidecarRegistry sidecars,
            HttpClient httpClient) {
        this.instance = instance;
        this.authorizationHeader = authorizationHeader;
        this.manifests = manifests;
        this.sidecars = sidecars;
        this.httpClient = httpClient;
    }

    @Override
    public CompletableFuture<JsonObject> toJson(boolean local) {
        List<CompletableFuture<JsonObject>> others = new ArrayList<>();
        if (!local) {
            sidecars.instances().stream()
                    .filter(other -> other.role().equals(ENTRY_ROLE))
                    .filter(other -> !other.name().equals(instance))
                    .forEach(other -> others.add(requestReport(other)));
        }
        return CompletableFuture.allOf(others.toArray(CompletableFuture[]::new))
                .thenApply(ignored -> assemble(others));
    }

    private JsonObject assemble(List<CompletableFuture<JsonObject>> others) {
        JsonArray instances = new JsonArray();
        instances.add(ownRow());
        sidecars.connections().forEach(connection -> instances.add(sidecarRow(connection)));
        others.stream().map(CompletableFuture::join).forEach(instances::add);
        JsonObject body = new JsonObject();
        body.addProperty("newestVersion", newest(instances));
        body.add("instances", instances);
        return body;
    }

    private static long newest(JsonArray instances) {
        long newest = 0;
        for (JsonElement element : instances) {
            newest = Math.max(newest, element.getAsJsonObject().get("version").getAsLong());
        }
        return newest;
    }

    private JsonObject ownRow() {
        AppliedManifest applied = manifests.applied();
        return row(instance, ENTRY_ROLE, applied.version(), applied.sinceEpochMillis(), true);
    }

    private static JsonObject sidecarRow(SidecarConnection connection) {
        long version = connection.report().map(Message.LoadReport::manifestVersion).orElse(0L);
        return row(
                connection.serverName(),
                "sidecar",
                version,
                connection.versionSinceEpochMillis(),
                connection.isConnected());
    }

    private CompletableFuture<JsonObject> requestReport(PlatformInstance other) {
        CompletableFuture<JsonObject> answer = new CompletableFuture<>();
        String host = other.address().getAddress().getHostAddress();
        String url = "http://" + host + ":" + other.address().getPort();
        ClientRequests.send(
                httpClient
                        .newRequest(url + "/operator/v1/in-force?local=true")
                        .headers(
                                headers ->
                                        headers.put(HttpHeader.AUTHORIZATION, authorizationHeader))
                        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                new BufferingResponseListener() {
                    @Override
                    public void onComplete(Result result) {
                        answer.complete(toRow(other, result, this::getContent));
                    }
                });
        return answer;
    }

    private static JsonObject toRow(
            PlatformInstance other, Result result, Supplier<byte[]> content) {
        if (result.isSucceeded() && result.getResponse().getStatus() == HttpStatus.OK_200) {
            try {
                String text = new String(content.get(), StandardCharsets.UTF_8);
                JsonObject body = JsonParser.parseString(text).getAsJsonObject();
                return body.getAsJsonArray("instances").get(0).getAsJsonObject();
            } catch (JsonParseException | IllegalStateException e) {
                return row(other.name(), ENTRY_ROLE, 0, 0, false);
            }
        }
        return row(other.name(), ENTRY_ROLE, 0, 0, false);
    }

    private static JsonObject row(
            String name, String role, long version, long sinceEpochMillis, boolean reachable) {
        JsonObject row = new JsonObject();
        row.addProperty("name", name);
        row.addProperty("role", role);
        row.addProperty("version", version);
        row.addProperty("sinceEpochMillis", sinceEpochMillis);
        row.addProperty("reachable", reachable);
        return row;
    }
}
