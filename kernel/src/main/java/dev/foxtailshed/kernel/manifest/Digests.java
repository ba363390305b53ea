package dev.foxtailshed.kernel.manifest;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests of documents and history entries: SHA-256 in lower-case hexadecimal. */
public final class Digests {

    /** The digest in place of a previous entry where there is none. */
    public static final String NONE = "0".repeat(64);

    private Digests() {}

    /**
     * Computes the digest of some bytes.
     *
     * @param bytes the bytes
     * @return 64 hexadecimal digits
     */
    public static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform has SHA-256", e);
        }
    }
}
