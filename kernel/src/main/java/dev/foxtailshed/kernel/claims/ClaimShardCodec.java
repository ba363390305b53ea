package dev.foxtailshed.kernel.claims;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Encodes shards as JSON and decodes them.
 *
 * <p>Thread-safe. Malformed bytes are rejected as a whole, because a call whose claim was
 * overlooked might run twice.
 */
public final class ClaimShardCodec {

    private static final Gson GSON = new Gson();
    private static final String FORMAT = "foxtailshed-claims-1";

    private ClaimShardCodec() {}

    /**
     * Encodes a shard.
     *
     * @param shard the shard
     * @return the shard as JSON in UTF-8
     */
    public static byte[] encode(ClaimShard shard) {
        Document document = new Document();
        document.format = FORMAT;
        document.claims = new ArrayList<>(shard.claims().size());
        shard.claims().forEach((key, claim) -> document.claims.add(Row.of(key, claim)));
        return GSON.toJson(document).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a shard.
     *
     * @param bytes the shard as JSON in UTF-8
     * @return the shard, or a description of the error
     */
    public static Either<String, ClaimShard> decode(byte[] bytes) {
        try {
            Document document =
                    GSON.fromJson(new String(bytes, StandardCharsets.UTF_8), Document.class);
            if (document == null || !FORMAT.equals(document.format) || document.claims == null) {
                return Either.left("not in the format " + FORMAT);
            }
            Map<String, Claim> claims = TreeMap.empty();
            for (Row row : document.claims) {
                claims = claims.put(row.key, row.toClaim());
            }
            return Either.right(ClaimShard.of(claims));
        } catch (JsonParseException | NullPointerException | IllegalArgumentException e) {
            return Either.left("malformed: " + e.getMessage());
        }
    }

    /** The root object of the JSON document. */
    private static final class Document {
        private String format;
        private List<Row> claims;
    }

    /** A claim in JSON. Status zero denotes a claim without an answer. */
    private static final class Row {
        private String key;
        private String id;
        private String content;
        private long expires;
        private int status;
        private String digest;
        private List<RecordedAnswer.Header> headers;
        private String body;

        static Row of(String key, Claim claim) {
            Row row = new Row();
            row.key = key;
            row.id = claim.claimId();
            row.content = claim.contentDigest();
            row.expires = claim.expiresAtEpochMillis();
            claim.answer().ifPresent(row::setAnswer);
            return row;
        }

        private void setAnswer(RecordedAnswer answer) {
            status = answer.status();
            digest = answer.bodyDigest();
            answer.content()
                    .ifPresent(
                            kept -> {
                                headers = kept.headers();
                                body = kept.bodyBase64();
                            });
        }

        Claim toClaim() {
            if (id == null || content == null) {
                throw new IllegalArgumentException("a claim lacks id or content");
            }
            return new Claim(id, content, expires, answer());
        }

        private Optional<RecordedAnswer> answer() {
            if (status == 0) {
                return Optional.empty();
            }
            Optional<RecordedAnswer.Content> kept =
                    body == null
                            ? Optional.empty()
                            : Optional.of(new RecordedAnswer.Content(headers, body));
            return Optional.of(new RecordedAnswer(status, digest, kept));
        }
    }
}
