package dev.foxtailshed.daemon.internal.direct;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * Digests by which a request is recognized when it comes again under another id.
 *
 * @param content the digest of the method, host, target, parts of the prompt and body
 * @param callerAndContent the digest of the caller's address and the content
 */
record RequestFingerprint(String content, String callerAndContent) {

    /** Enough that no two requests of a deployment have the same digest, even on purpose. */
    private static final int DIGEST_BYTES = 16;

    /** Computes the digests of a request. */
    static RequestFingerprint of(CallerRequest request) {
        // Without the port, which differs between the entries of a host without a load balancer.
        String host = request.route().host();
        // The ids of the parts come from a list that is separated by commas.
        String prompt = String.join(",", request.attributes().promptParts().ids());
        String content =
                digest(List.of(request.method(), host, request.target(), prompt), request.body());
        return new RequestFingerprint(
                content, digest(List.of(request.callerAddress(), content), new byte[0]));
    }

    private static String digest(List<String> texts, byte[] body) {
        MessageDigest digest = sha256();
        for (String text : texts) {
            digest.update(text.getBytes(StandardCharsets.UTF_8));
            // None of the texts can contain a zero byte.
            digest.update((byte) 0);
        }
        return HexFormat.of().formatHex(digest.digest(body), 0, DIGEST_BYTES);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
