package dev.foxtailshed.daemon.internal.entry;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
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
 * Reports this entry, the sidecars it knows and, unless asked for the local part alone, what the
 * other entries on the platform's list report of themselves. Thread-safe.
 */
final class EntryInForceReport implements InForceReport {

    private static final String ENTRY_ROLE = "entry";
    private static final long TIMEOUT_MILLIS = 2_000;

    private final String instance;
    private final String bearer;
    private final ManifestHolder manifests;
    private final SidecarRegistry fleet;
    private final HttpClient httpClient;

    EntryInForceReport(
            String instance,
            String bearer,
            ManifestHolder manifests,
            SidecarRegistry fleet,
            HttpClient httpClient) {
        this.instance = instance;
        this.bearer = bearer;
        this.manifests = manifests;
        this.fleet = fleet;
        this.httpClient = httpClient;
    }

    @Override
    public CompletableFuture<JsonObject> toJson(boolean local) {
        List<CompletableFuture<JsonObject>> others = new ArrayList<>();
        if (!local) {
            fleet.instances().stream()
                    .filter(other -> other.role().equals(ENTRY_ROLE))
                    .filter(other -> !other.name().equals(instance))
                    .forEach(other -> others.add(ask(other)));
        }
        return CompletableFuture.allOf(others.toArray(CompletableFuture[]::new))
                .thenApply(ignored -> assemble(others));
    }

    private JsonObject assemble(List<CompletableFuture<JsonObject>> others) {
        JsonArray instances = new JsonArray();
        instances.add(self());
        fleet.links().forEach(link -> instances.add(sidecar(link)));
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

    private JsonObject self() {
        AppliedManifest applied = manifests.applied();
        return line(instance, ENTRY_ROLE, applied.version(), applied.sinceEpochMillis(), true);
    }

    private static JsonObject sidecar(SidecarConnection link) {
        long version = link.report().map(Message.LoadReport::manifestVersion).orElse(0L);
        return line(
                link.serverName(),
                "sidecar",
                version,
                link.versionSinceEpochMillis(),
                link.isConnected());
    }

    private CompletableFuture<JsonObject> ask(PlatformInstance other) {
        CompletableFuture<JsonObject> answer = new CompletableFuture<>();
        String host = other.address().getAddress().getHostAddress();
        String url = "http://" + host + ":" + other.address().getPort();
        httpClient
                .newRequest(url + "/operator/v1/in-force?local=true")
                .headers(headers -> headers.put(HttpHeader.AUTHORIZATION, bearer))
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .send(
                        new BufferingResponseListener() {
                            @Override
                            public void onComplete(Result result) {
                                answer.complete(toLine(other, result, this::getContent));
                            }
                        });
        return answer;
    }

    private static JsonObject toLine(
            PlatformInstance other, Result result, Supplier<byte[]> content) {
        if (result.isSucceeded() && result.getResponse().getStatus() == HttpStatus.OK_200) {
            try {
                String text = new String(content.get(), StandardCharsets.UTF_8);
                JsonObject body = JsonParser.parseString(text).getAsJsonObject();
                return body.getAsJsonArray("instances").get(0).getAsJsonObject();
            } catch (JsonParseException | IllegalStateException e) {
                return line(other.name(), ENTRY_ROLE, 0, 0, false);
            }
        }
        return line(other.name(), ENTRY_ROLE, 0, 0, false);
    }

    private static JsonObject line(
            String name, String role, long version, long sinceEpochMillis, boolean reachable) {
        JsonObject line = new JsonObject();
        line.addProperty("name", name);
        line.addProperty("role", role);
        line.addProperty("version", version);
        line.addProperty("sinceEpochMillis", sinceEpochMillis);
        line.addProperty("reachable", reachable);
        return line;
    }
}
