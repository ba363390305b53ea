package dev.foxtailshed.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Objects;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The key that proves one process to another, and an operator to an entry.
 *
 * <p>Immutable and thread-safe. The key never appears in {@link #toString()}.
 */
public final class SharedKey {

    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 32;
    private static final int MINIMUM_KEY_LENGTH = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final byte[] keyBytes;

    /**
     * Creates a key.
     *
     * @param text the key as settings give it, at least 16 characters
     * @throws IllegalArgumentException if the key is too short
     */
    public SharedKey(String text) {
        Objects.requireNonNull(text, "text");
        if (text.length() < MINIMUM_KEY_LENGTH) {
            throw new IllegalArgumentException(
                    "the key must have at least " + MINIMUM_KEY_LENGTH + " characters");
        }
        this.keyBytes = text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Draws random bytes for a challenge.
     *
     * @return the bytes
     */
    public static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /**
     * Signs a statement.
     *
     * @param data the bytes to sign
     * @return HMAC-SHA-256 of the statement under this key
     */
    public byte[] sign(byte[] data) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(keyBytes, ALGORITHM));
            return mac.doFinal(data);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every JDK provides " + ALGORITHM, e);
        }
    }

    /**
     * Checks a key that was presented as text, in constant time.
     *
     * @param presented the text
     * @return whether it is this key
     */
    public boolean matches(String presented) {
        return MessageDigest.isEqual(keyBytes, presented.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the value of an Authorization header that presents this key.
     *
     * @return the value, which must not be logged
     */
    public String bearer() {
        return "Bearer " + new String(keyBytes, StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return "SharedKey[hidden]";
    }
}
