package dev.foxtailshed.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dev.foxtailshed.kernel.manifest.Digests;
import dev.foxtailshed.kernel.manifest.ManifestHistoryEntry;
import java.nio.charset.StandardCharsets;

/** Builds the JSON history of two submissions of the same document. */
final class TestHistory {

    private TestHistory() {}

    static String json(String who, String document) {
        String digest = Digests.sha256(document.getBytes(StandardCharsets.UTF_8));
        ManifestHistoryEntry first =
                new ManifestHistoryEntry(1, who, "1.1.1.1", 1000, "s1", digest, Digests.NONE);
        ManifestHistoryEntry second =
                new ManifestHistoryEntry(2, who, "1.1.1.1", 2000, "s2", digest, first.digest());
        JsonArray entries = new JsonArray();
        entries.add(json(second));
        entries.add(json(first));
        JsonObject history = new JsonObject();
        history.add("entries", entries);
        return history.toString();
    }

    private static JsonObject json(ManifestHistoryEntry entry) {
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
