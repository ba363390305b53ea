package dev.foxtailshed.kernel.claims;

import java.util.List;
import java.util.Optional;

/**
 * The answer to a call that ran, as recorded with its claim. Immutable.
 *
 * @param status the HTTP status
 * @param bodyDigest the digest of the body, in hexadecimal
 * @param content the headers and body, empty if there was no room to keep them
 */
public record RecordedAnswer(int status, String bodyDigest, Optional<Content> content) {

    private static final int OVERHEAD_BYTES = 100;

    /** Checks that the status is positive. */
    public RecordedAnswer {
        if (status <= 0) {
            throw new IllegalArgumentException("status must be positive: " + status);
        }
    }

    /**
     * The headers and body of an answer.
     *
     * @param headers the headers
     * @param bodyBase64 the body in Base64
     */
    public record Content(List<Header> headers, String bodyBase64) {

        /** Copies the headers. */
        public Content {
            headers = List.copyOf(headers);
        }
    }

    /**
     * A header of the answer.
     *
     * @param name the header name
     * @param value the header value
     */
    public record Header(String name, String value) {}

    /**
     * Returns this answer without headers and body.
     *
     * @return an answer with status and digest only
     */
    public RecordedAnswer withoutContent() {
        return new RecordedAnswer(status, bodyDigest, Optional.empty());
    }

    /** Returns the approximate size of the answer in its shard. */
    int sizeBytes() {
        return OVERHEAD_BYTES + content.map(RecordedAnswer::sizeBytes).orElse(0);
    }

    private static int sizeBytes(Content content) {
        int size = content.bodyBase64().length();
        for (Header header : content.headers()) {
            size += header.name().length() + 2 * header.value().length() + OVERHEAD_BYTES / 4;
        }
        return size;
    }
}
