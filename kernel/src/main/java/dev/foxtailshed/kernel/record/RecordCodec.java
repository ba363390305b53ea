package dev.foxtailshed.kernel.record;

import com.google.gson.Gson;
import dev.foxtailshed.kernel.manifest.Digests;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Reader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Encodes batches for storage and decodes them.
 *
 * <p>The digest of a batch is computed from its stored bytes, so that a change of any byte is
 * detected. Thread-safe.
 */
public final class RecordCodec {

    private static final Gson GSON = new Gson();

    private RecordCodec() {}

    /**
     * Encodes a batch.
     *
     * @param batch the batch
     * @return JSON in UTF-8, compressed with gzip
     */
    public static byte[] encode(RecordBatch batch) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (Writer writer =
                new OutputStreamWriter(new GZIPOutputStream(bytes), StandardCharsets.UTF_8)) {
            GSON.toJson(batch, writer);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a batch.
     *
     * @param bytes the stored bytes
     * @return the batch, or empty if the bytes are not a valid batch
     */
    public static Optional<RecordBatch> decode(byte[] bytes) {
        try (Reader reader =
                new InputStreamReader(
                        new GZIPInputStream(new ByteArrayInputStream(bytes)),
                        StandardCharsets.UTF_8)) {
            return Optional.ofNullable(GSON.fromJson(reader, RecordBatch.class));
        } catch (IOException | RuntimeException e) {
            // Gson wraps exceptions of a record's constructor in a plain RuntimeException.
            return Optional.empty();
        }
    }

    /**
     * Computes the digest of a stored batch.
     *
     * @param bytes the stored bytes
     * @return the digest that the next batch contains
     */
    public static String digest(byte[] bytes) {
        return Digests.sha256(bytes);
    }
}
