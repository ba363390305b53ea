package dev.foxtailshed.kernel.claims;

import dev.foxtailshed.kernel.manifest.Digests;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A request for the exclusive right to run under an idempotency key.
 *
 * <p>Example: <code>ClaimRequest.of("orders", "POST", "/wire-orders", key, body, id, expiry)</code>
 * . Immutable.
 *
 * @param key the digest of the caller's key and its scope, in hexadecimal
 * @param claimId the id of this request, unique whatever key it carries
 * @param contentDigest the digest of the call's method, path, query and body, in hexadecimal
 * @param expiresAtEpochMillis the time at which the claim expires
 */
public record ClaimRequest(
        String key, String claimId, String contentDigest, long expiresAtEpochMillis) {

    private static final int KEY_DIGITS = 32;

    /** Checks that no component is null. */
    public ClaimRequest {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(claimId, "claimId");
        Objects.requireNonNull(contentDigest, "contentDigest");
    }

    /**
     * Creates the claim request of a call. The scope of a key is the deployment, the method and the
     * path without its query. The query and the body must be the same in every resend.
     *
     * @param deployment the name of the deployment
     * @param method the HTTP method
     * @param pathAndQuery the path below the deployment, with its query
     * @param idempotencyKey the caller's key
     * @param body the request body
     * @param claimId the unique id of this request
     * @param expiresAtEpochMillis the time at which the claim expires
     * @return the request for the claim
     */
    public static ClaimRequest of(
            String deployment,
            String method,
            String pathAndQuery,
            String idempotencyKey,
            byte[] body,
            String claimId,
            long expiresAtEpochMillis) {
        int question = pathAndQuery.indexOf('?');
        String path = question < 0 ? pathAndQuery : pathAndQuery.substring(0, question);
        String scope = String.join("\n", deployment, method, path, idempotencyKey);
        String content = String.join("\n", method, pathAndQuery, Digests.sha256(body));
        return new ClaimRequest(digest(scope), claimId, digest(content), expiresAtEpochMillis);
    }

    private static String digest(String text) {
        return Digests.sha256(text.getBytes(StandardCharsets.UTF_8)).substring(0, KEY_DIGITS);
    }
}
