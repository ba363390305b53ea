package dev.foxtailshed.standins.internal.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A complete response to a call.
 *
 * @param status the HTTP status
 * @param eTag the entity tag without quotes, if any
 * @param contentType the media type of the body
 * @param body the body, which may be empty
 */
public record Reply(int status, Optional<String> eTag, String contentType, byte[] body) {

    private static final String JSON_TYPE = "application/json";

    /**
     * Creates a response with a JSON body.
     *
     * @param status the HTTP status
     * @param json the JSON text
     * @return the response
     */
    public static Reply json(int status, String json) {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        return new Reply(status, Optional.empty(), JSON_TYPE, body);
    }

    /**
     * Creates a response without a body.
     *
     * @param status the HTTP status
     * @return the response
     */
    public static Reply empty(int status) {
        return new Reply(status, Optional.empty(), JSON_TYPE, new byte[0]);
    }

    /**
     * Creates a response with the JSON field {@code error}.
     *
     * @param status the HTTP status
     * @param message the error message
     * @return the response
     */
    public static Reply error(int status, String message) {
        return json(status, Json.CAMEL.write(new ErrorBody(message)));
    }

    /**
     * Returns a copy with the version of an object as its entity tag.
     *
     * @param version the version
     * @return the copy
     */
    public Reply withVersion(long version) {
        return new Reply(status, Optional.of(Long.toString(version)), contentType, body);
    }

    private record ErrorBody(String error) {}
}
