package dev.foxtailshed.daemon.internal.operator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.internal.manifest.HistoryRecord;
import dev.foxtailshed.kernel.manifest.ManifestHistoryEntry;
import java.util.List;

/** Converts the history of the manifest to JSON for operators. */
final class HistoryReport {

    private HistoryReport() {}

    static JsonObject toJson(List<HistoryRecord> records) {
        JsonArray entries = new JsonArray();
        records.stream().map(HistoryRecord::entry).map(HistoryReport::toJson).forEach(entries::add);
        JsonObject body = new JsonObject();
        body.add("entries", entries);
        return body;
    }

    private static JsonObject toJson(ManifestHistoryEntry entry) {
        JsonObject json = new JsonObject();
        json.addProperty("version", entry.version());
        json.addProperty("who", entry.who());
        json.addProperty("from", entry.fromAddress());
        json.addProperty("atEpochMillis", entry.atEpochMillis());
        json.addProperty("submissionId", entry.submissionId());
        json.addProperty("documentDigest", entry.documentDigest());
        json.addProperty("previousEntryDigest", entry.previousEntryDigest());
        return json;
    }
}
