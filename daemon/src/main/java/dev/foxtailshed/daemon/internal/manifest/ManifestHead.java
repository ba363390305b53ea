package dev.foxtailshed.daemon.internal.manifest;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The object whose conditional update accepts a manifest. It refers to the current document and,
 * through its history entry, to all earlier ones.
 *
 * @param version the version of the manifest in force
 * @param submissionId the submission that was accepted
 * @param documentName the name of the object that holds the manifest
 * @param documentDigest the SHA-256 digest of the manifest, in hexadecimal
 * @param entryName the name of the object that holds the history entry
 * @param entryDigest the digest of the history entry, in hexadecimal
 */
record ManifestHead(
        long version,
        String submissionId,
        String documentName,
        String documentDigest,
        String entryName,
        String entryDigest) {

    /** The name of the head object. */
    static final String OBJECT_NAME = "manifest/head";

    private static final Gson GSON = new Gson();

    static Optional<ManifestHead> parse(byte[] body) {
        try {
            return Optional.ofNullable(
                    GSON.fromJson(new String(body, StandardCharsets.UTF_8), ManifestHead.class));
        } catch (JsonParseException e) {
            return Optional.empty();
        }
    }

    byte[] toBytes() {
        return GSON.toJson(this).getBytes(StandardCharsets.UTF_8);
    }
}
