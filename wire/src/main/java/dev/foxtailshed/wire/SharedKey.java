package dev.foxtailshed.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Objects;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret key with which processes authenticate to each other, and operators to an entry.
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
     * Creates a key from its text form.
     *
     * @param text the configured key, at least 16 characters
     * @throws IllegalArgumentException if the text is too short
     */
    public SharedKey(String text) {
        Objects.requireNonNull(text, "text");
        if (text.length() < MINIMUM_KEY_LENGTH) {
            throw new IllegalArgumentException(
                    "the key must have at least " + MINIMUM_KEY_LENGTH + " characters");
        }
        this.keyBytes = text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns 32 new random bytes for a handshake challenge. */
    public static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /**
     * Returns the HMAC-SHA-256 of the given bytes under this key.
     *
     * @param data the bytes to sign
     * @return the signature, 32 bytes
     */
    public byte[] sign(byte[] data) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(keyBytes, ALGORITHM));
            return mac.doFinal(data);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("required algorithm is not available: " + ALGORITHM, e);
        }
    }

    /**
     * Returns whether the given text equals this key, comparing in constant time.
     *
     * @param presented the key that a caller presented
     * @return true if it equals this key
     */
    public boolean matches(String presented) {
        return MessageDigest.isEqual(keyBytes, presented.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the value of an Authorization header that carries this key.
     *
     * @return "Bearer " and the key; must not be logged
     */
    public String authorizationHeader() {
        return "Bearer " + new String(keyBytes, StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return "SharedKey[hidden]";
    }
}
