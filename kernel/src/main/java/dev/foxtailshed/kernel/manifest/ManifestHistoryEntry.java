package dev.foxtailshed.kernel.manifest;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;

/**
 * A history entry for one accepted manifest, which contains the digest of the previous entry.
 *
 * @param version the version of the manifest
 * @param who the operator who submitted it
 * @param fromAddress the network address of the submitter
 * @param atEpochMillis the time of acceptance in milliseconds since 1970 UTC
 * @param submissionId the id that the operator's command generated
 * @param documentDigest the digest of the document
 * @param previousEntryDigest the digest of the previous entry, {@link Digests#NONE} for the first
 */
public record ManifestHistoryEntry(
        long version,
        String who,
        String fromAddress,
        long atEpochMillis,
        String submissionId,
        String documentDigest,
        String previousEntryDigest) {

    private static final String ENCODING_FORMAT = "foxtailshed-history-1";

    /** Checks that no component is null. */
    public ManifestHistoryEntry {
        Objects.requireNonNull(who, "who");
        Objects.requireNonNull(fromAddress, "fromAddress");
        Objects.requireNonNull(submissionId, "submissionId");
        Objects.requireNonNull(documentDigest, "documentDigest");
        Objects.requireNonNull(previousEntryDigest, "previousEntryDigest");
    }

    /**
     * Computes the digest of {@link #canonicalBytes()}.
     *
     * @return 64 hexadecimal digits
     */
    public String digest() {
        return Digests.sha256(canonicalBytes());
    }

    /**
     * Returns the canonical encoding of this entry.
     *
     * <p>It consists of the text <code>foxtailshed-history-1</code> and each field in the order of
     * this record, integers in decimal. Each of these is written as the decimal length of its UTF-8
     * encoding in bytes, a colon, the bytes and a line feed, so that different entries have
     * different encodings.
     *
     * @return the encoded entry
     */
    public byte[] canonicalBytes() {
        List<String> fields =
                List.of(
                        ENCODING_FORMAT,
                        Long.toString(version),
                        who,
                        fromAddress,
                        Long.toString(atEpochMillis),
                        submissionId,
                        documentDigest,
                        previousEntryDigest);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (String field : fields) {
            byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
            out.writeBytes((bytes.length + ":").getBytes(StandardCharsets.UTF_8));
            out.writeBytes(bytes);
            out.write('\n');
        }
        return out.toByteArray();
    }
}
