package dev.foxtailshed.daemon.internal.manifest;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import dev.foxtailshed.kernel.manifest.ManifestHistoryEntry;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A history entry as it is stored, with the names of the objects that it refers to.
 *
 * @param entry the entry
 * @param documentName the name of the object that holds the manifest
 * @param previousEntryName the name of the object that holds the previous entry, empty for the
 *     first
 */
public record HistoryRecord(
        ManifestHistoryEntry entry, String documentName, String previousEntryName) {

    private static final Gson GSON = new Gson();

    /**
     * Returns the name of the object that holds this record. Names sort by version.
     *
     * @return the name
     */
    public String objectName() {
        String digest = entry.digest().substring(0, 16);
        return String.format("manifest/entries/%010d-%s", entry.version(), digest);
    }

    static Optional<HistoryRecord> parse(byte[] body) {
        try {
            return Optional.ofNullable(
                    GSON.fromJson(new String(body, StandardCharsets.UTF_8), HistoryRecord.class));
        } catch (JsonParseException e) {
            return Optional.empty();
        }
    }

    byte[] toBytes() {
        return GSON.toJson(this).getBytes(StandardCharsets.UTF_8);
    }
}
